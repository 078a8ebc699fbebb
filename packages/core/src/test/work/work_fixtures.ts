/** A service of engines with a model of work for tests. @packageDocumentation */

import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {Clock} from '../../lib/time/clock.js';
import {Random} from '../../lib/time/random.js';
import {WorkModel} from '../../lib/work/work_model.js';
import {
  ENGINE_SERVICE,
  deploymentOf,
  engineConfig,
  targetRegistration,
} from '../gateway/gateway_fixtures.js';

/** Slots of each engine. */
export const SLOTS = 16;

/** Tokens that the memory of each engine holds. */
export const KV_TOKENS = 50_000;

/** Returns a configuration whose engines state their token capacity. */
export function workState(): DeploymentState {
  const state = new DeploymentState();
  const deployment = deploymentOf([]);
  const engine = engineConfig({slots: SLOTS, kvCapacityTokens: KV_TOKENS});
  const service = {name: ENGINE_SERVICE, maxConnections: 100, engine};
  const services = new Map([...deployment.services, [ENGINE_SERVICE, service]]);
  state.applyIfNewer({...deployment, services});
  return state;
}

/** Returns a model of one of `hostCount` hosts. */
export function workModel(clock: Clock, hostCount = 1, seed = 1): WorkModel {
  const state = workState();
  const random = new Random(seed);
  return new WorkModel({clock, random, state, hostCount: () => hostCount});
}

/** Returns the registration of an engine. */
export function engineTarget(id: string, zone = 'a') {
  const held = [{model: 'm0', adapters: []}];
  const service = ENGINE_SERVICE;
  return targetRegistration({id, zone, service, slots: SLOTS, held});
}
