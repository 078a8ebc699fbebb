/** The model of the targets' work. @packageDocumentation */

import {CallerRequest} from '../gateway/caller_request.js';
import {DeploymentState} from '../gateway/deployment_state.js';
import type {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {RequestSize, requestSize} from './request_size.js';
import {SentWork} from './sent_work.js';
import {Prediction, ServiceWork} from './service_work.js';
import {TargetReport} from './work_messages.js';

/**
 * Parts of the free slots that hosts may use, relative to equal parts. Rounding
 * is random, so that equal parts at times add up to more than the free slots.
 */
const PART_FACTOR = 0.8;

/**
 * Part of the slots in use that is divided again with each publication, so that
 * a host without requests at a full target gets slots there within seconds.
 */
const REDIVIDED_FRACTION = 0.1;

/** Dependencies of {@link WorkModel}. */
export interface WorkModelParts {
  clock: Clock;
  random: Random;
  state: DeploymentState;
  /** Returns the number of hosts that share the targets. */
  hostCount: () => number;
  /** Whether the model is in use; true by default. */
  isEnabled?: boolean;
}

/** The work of a request, as the choice of its target needs it. */
export interface RequestWork {
  service: ServiceWork;
  size: RequestSize;
  objectiveMs: number;
}

/**
 * Predicts how targets would run requests. Services whose configuration states
 * no token capacity are left out; they are served by load alone.
 */
export class WorkModel {
  private readonly services = new Map<string, ServiceWork>();

  /** @param parts - see {@link WorkModelParts}. */
  constructor(private readonly parts: WorkModelParts) {}

  /**
   * Returns the typical durations of a service.
   *
   * @param name - name of the service.
   * @returns undefined if its configuration states no token capacity.
   */
  ofService(name: string): ServiceWork | undefined {
    if (this.parts.isEnabled === false) return undefined;
    const {deployment} = this.parts.state.current ?? {};
    const engine = deployment?.services.get(name)?.engine;
    const kvCapacityTokens = engine?.kvCapacityTokens;
    if (kvCapacityTokens === undefined) return undefined;
    let service = this.services.get(name);
    if (service === undefined) {
      service = new ServiceWork(kvCapacityTokens);
      this.services.set(name, service);
    }
    service.kvCapacityTokens = kvCapacityTokens;
    return service;
  }

  /**
   * Returns the work of a request; undefined if its service is left out.
   *
   * @param name - name of the service.
   * @param req - the request.
   * @param objectiveMs - its latency objective.
   */
  workOf(
    name: string,
    req: CallerRequest,
    objectiveMs: number,
  ): RequestWork | undefined {
    const service = this.ofService(name);
    if (service === undefined) return undefined;
    return {service, size: requestSize(req.tokens), objectiveMs};
  }

  /**
   * Predicts how a target would run a request.
   *
   * @param target - the target.
   * @param work - the work of the request.
   */
  predict(target: KnownTarget, {service, size}: RequestWork): Prediction {
    return service.predict(target, size);
  }

  /**
   * Counts a request at a target.
   *
   * @param target - the target that it is sent to.
   * @param work - its work.
   * @param isStream - whether its answer is a stream of events.
   * @returns the send, which has to be ended.
   */
  begin(target: KnownTarget, work: RequestWork, isStream: boolean): SentWork {
    const {service, size} = work;
    return new SentWork(this.parts.clock, target, service, size, isStream);
  }

  /**
   * Stores the work of all hosts at a target. The slots that were free are
   * divided among the hosts, as all of them learn of these at the same time.
   *
   * @param target - the target.
   * @param report - the work, as published.
   */
  applyPublished(target: KnownTarget, {sums, pace}: TargetReport): void {
    const requests = sums.waiting + sums.running;
    const returned = REDIVIDED_FRACTION * requests;
    const free = Math.max(0, target.effectiveSlots - requests + returned);
    const part = (PART_FACTOR * free) / Math.max(1, this.parts.hostCount());
    const kept = (1 - REDIVIDED_FRACTION) * target.work.reportedRequests;
    const limit = Math.floor(kept + part + this.parts.random.float());
    target.work.setPublished(sums, limit);
    target.work.pace.setPublished(pace);
  }
}
