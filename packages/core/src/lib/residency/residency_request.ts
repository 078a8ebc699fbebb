/** Requests for targets that hold a model. @packageDocumentation */

/** A host's request for a target that holds a model. */
export interface ResidencyRequest {
  service: string;
  model: string;
  adapter: string | undefined;
  /** Clock time by which the first event is due to be on time. */
  objectiveEndMs: number;
  /** Clock time after which the caller no longer waits. */
  giveUpMs: number;
  /** Targets that refused the request. */
  tried: ReadonlySet<string>;
  /** Software version of the targets that may be used, if not all may. */
  softwareVersion: string | undefined;
}

/** Refusal, as no target will hold the model in time. */
export interface NotResident {
  retryAfterMs: number;
  /** Whether a retry before then cannot succeed. */
  isFinal: boolean;
}
