/** Interface to find a target that has a model loaded. @packageDocumentation */

import {Result} from 'neverthrow';
import {Refusal} from '../requests/outcome.js';
import {ModelDemand} from './caller_request.js';
import {NotRunReason} from './target_port.js';
import {KnownTarget} from './target_table.js';

/** A search with a {@link ModelFinder}. */
export interface ModelSearch {
  /** Id of the request. */
  id: string;
  service: string;
  demand: ModelDemand;
  /** Clock time at which the first event is due by the latency objective. */
  objectiveEndMs: number;
  /** Clock time at which the caller stops waiting. */
  deadlineMs: number;
  /** Ids of the targets to avoid: tried already or backing off. */
  tried: ReadonlySet<string>;
  /** Software version of the targets that may be used, if not all may. */
  softwareVersion: string | undefined;
}

/** Finds targets for models and triggers loads of missing models. */
export abstract class ModelFinder {
  /**
   * Finds a target, waiting for a load if necessary.
   *
   * @param search - see {@link ModelSearch}.
   * @param signal - aborts the wait.
   * @returns a target that has the model loaded, or a refusal as soon as it is
   *     certain that no target will have it in time.
   */
  abstract find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>>;

  /**
   * Counts a request for a model; called once per request.
   *
   * @param service - the service that the request goes to.
   * @param demand - the requested model.
   * @param objectiveMs - the latency objective of the request.
   */
  abstract countRequest(
    service: string,
    demand: ModelDemand,
    objectiveMs: number,
  ): void;

  /**
   * Records that a target did not run a request that it was expected to run.
   *
   * @param target - the target that the request was sent to.
   * @param demand - the requested model.
   * @param reason - why the request did not run.
   */
  abstract recordNotRun(
    target: KnownTarget,
    demand: ModelDemand,
    reason: NotRunReason,
  ): void;
}
