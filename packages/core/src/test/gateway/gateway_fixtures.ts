/** Configurations and targets for gateway tests. @packageDocumentation */

import {
  Deployment,
  EngineConfig,
  REQUEST_KIND,
  RouteRule,
  ServiceConfig,
  TeamConfig,
} from '../../lib/gateway/deployment.js';
import {TargetRegistration} from '../../lib/gateway/target_registration.js';

/** Name of the service of model engines in {@link deploymentOf}. */
export const ENGINE_SERVICE = 'engines';

/** Name of the service without engines in {@link deploymentOf}. */
export const PLAIN_SERVICE = 'registry';

/** Returns a route of {@link PLAIN_SERVICE} with the given overrides. */
export function routeRule(rule: Partial<RouteRule> = {}): RouteRule {
  return {
    name: 'route',
    host: 'h.example',
    pathPrefix: '/',
    kind: REQUEST_KIND.repeatable,
    isResumable: false,
    timeoutMs: 3_000,
    objectiveMs: 400,
    priority: 0,
    shares: [{service: PLAIN_SERVICE, weight: 1}],
    maxTargets: 2,
    isPublic: false,
    ...rule,
  };
}

/** Returns a team without a rate limit with the given overrides. */
export function teamConfig(team: Partial<TeamConfig> = {}): TeamConfig {
  return {
    name: 'team',
    keys: ['key'],
    priority: undefined,
    tokensPerSecond: 0,
    burstTokens: 0,
    defaultRequestTokens: 100,
    ...team,
  };
}

/** Returns engines with memory for three of the models `m0` to `m9`. */
export function engineConfig(engine: Partial<EngineConfig> = {}): EngineConfig {
  const models = new Map(
    Array.from({length: 10}, (unused, i) => {
      const name = `m${i}`;
      const config = {
        name,
        weightsMb: 70,
        storeLoadMs: 6_000,
        diskLoadMs: 800,
        memoryLoadMs: 400,
        adapterMb: 1,
        adapterCount: 10,
      };
      return [name, config];
    }),
  );
  return {
    slots: 8,
    weightsMb: 220,
    adapterSlots: 2,
    storeLoadsPerSecond: 3,
    models,
    ...engine,
  };
}

/** Returns a configuration with both services. */
export function deploymentOf(
  routes: RouteRule[],
  teams: TeamConfig[] = [teamConfig()],
  version = 1,
): Deployment {
  const plain = {name: PLAIN_SERVICE, maxConnections: 100, engine: undefined};
  const engines = {
    name: ENGINE_SERVICE,
    maxConnections: 100,
    engine: engineConfig(),
  };
  return {
    version,
    routes,
    services: new Map<string, ServiceConfig>([
      [PLAIN_SERVICE, plain],
      [ENGINE_SERVICE, engines],
    ]),
    teams: new Map(teams.map(team => [team.name, team])),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Returns a target of {@link PLAIN_SERVICE} with the given overrides. */
export function targetRegistration(
  overrides: Partial<TargetRegistration> = {},
): TargetRegistration {
  return {
    id: 't1',
    startedMs: 1,
    service: PLAIN_SERVICE,
    address: '127.0.0.1:1',
    zone: 'a',
    softwareVersion: 'v1',
    slots: 8,
    isLeaving: false,
    orderCount: 0,
    held: [],
    inMemory: [],
    onDisk: [],
    ...overrides,
  };
}
