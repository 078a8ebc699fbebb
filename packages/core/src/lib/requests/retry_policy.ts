/** Decides whether an attempt may be followed by another. @packageDocumentation */

/** Keeps retries from amplifying an overload. */
export abstract class RetryPolicy {
  /** Counts a request that came in. */
  abstract noteRequest(): void;

  /** @returns whether a retry is allowed now, which counts it. */
  abstract mayRetry(): boolean;
}
