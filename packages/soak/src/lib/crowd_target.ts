/** A process that tests of crowds press. @packageDocumentation */

/** One process of the system, and an ordinary caller of it. */
export abstract class CrowdTarget {
  /** @param pid - id of the process. */
  constructor(readonly pid: number) {}

  /** Base URL for callers. */
  abstract get url(): string;

  /** Exit codes and signals of unexpected exits. */
  abstract get unexpectedExits(): readonly string[];

  /** Sends one ordinary request and returns the status of its answer. */
  abstract callOnce(): Promise<number>;

  /** Ends the process and its stand-ins. */
  abstract dispose(): Promise<void>;
}
