/** Finds a target that holds a model. @packageDocumentation */

import {Result} from 'neverthrow';
import {Refusal} from '../requests/outcome.js';
import {ModelDemand} from './caller_request.js';
import {NotRunReason} from './target_port.js';
import {KnownTarget} from './target_table.js';

/** What a request asks of a {@link ModelFinder}. */
export interface ModelSearch {
  /** Id of the request. */
  id: string;
  service: string;
  demand: ModelDemand;
  /** Clock time by which the first event is due to be on time. */
  objectiveEndMs: number;
  /** Clock time at which the caller stops waiting. */
  deadlineMs: number;
  /** Targets that were tried for the request. */
  tried: ReadonlySet<string>;
}

/** Finds targets for models, and has models loaded where they are missing. */
export abstract class ModelFinder {
  /**
   * @param search - see {@link ModelSearch}.
   * @param signal - gives up waiting.
   * @returns a target that holds the model, or a refusal as soon as it is
   *     certain that none will in time.
   */
  abstract find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>>;

  /**
   * Notes a request for a model, once for each.
   *
   * @param service - the service that it goes to.
   * @param demand - what it asks for.
   * @param objectiveMs - its latency objective.
   */
  abstract noteArrival(
    service: string,
    demand: ModelDemand,
    objectiveMs: number,
  ): void;

  /**
   * Notes that a target did not run a request that it should be able to run.
   *
   * @param target - where the request was sent.
   * @param demand - what it asked for.
   * @param reason - why it did not run.
   */
  abstract noteNotRun(
    target: KnownTarget,
    demand: ModelDemand,
    reason: NotRunReason,
  ): void;
}
