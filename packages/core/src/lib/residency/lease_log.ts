/** Interface of the log that holds the order lease. @packageDocumentation */

import {Result} from 'neverthrow';

/** Kinds of lease records. */
export const LEASE_EVENT = {
  claim: 'claim',
  renew: 'renew',
  release: 'release',
} as const;

/** A record of the lease in the log. */
export interface LeaseRecord {
  event: (typeof LEASE_EVENT)[keyof typeof LEASE_EVENT];
  /** Name under which the host's peers reach it. */
  host: string;
  /** Name of the machine, which stays the same when its process restarts. */
  owner: string;
  /** Differs for every start of the host. */
  incarnation: string;
  /** Time for which the record is valid, counted from before its append. */
  ttlMs: number;
  /** Time from before the append until the holder may send orders. */
  ordersInMs: number;
  /** Number of hosts that report to the holder, itself included. */
  hosts: number;
  /** Offset of the claim that is renewed or released; unset in a claim. */
  claimOffset?: number;
}

/** The newest record from an offset on. */
export interface LeaseTail {
  /** The newest record, if there is any at or after the offset asked for. */
  newest: LeaseRecord | undefined;
  /** Offset after the newest record. */
  end: number;
}

/** Reasons why a read failed. */
export const LEASE_READ_ERROR = {
  /** The log does not have the offset that was asked for. */
  gone: 'gone',
  /** The log did not answer. */
  unavailable: 'unavailable',
} as const;

/** One of {@link LEASE_READ_ERROR}. */
export type LeaseReadError =
  (typeof LEASE_READ_ERROR)[keyof typeof LEASE_READ_ERROR];

/** Reasons why an append failed. */
export const LEASE_ERROR = {
  /** The log no longer ends where the writer expected. */
  conflict: 'conflict',
  /** The log did not answer; the record may still be appended. */
  unknown: 'unknown',
} as const;

/** One of {@link LEASE_ERROR}. */
export type LeaseError = (typeof LEASE_ERROR)[keyof typeof LEASE_ERROR];

/** A log with conditional appends: the writer names the end that it expects. */
export abstract class LeaseLog {
  /**
   * Reads the newest record.
   *
   * @param from - offset to read from.
   * @param waitMs - how long the log may wait for a record.
   * @param signal - cancels the read.
   * @returns the newest record and the end of the log, or why the read failed.
   */
  abstract read(
    from: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LeaseTail, LeaseReadError>>;

  /**
   * Appends a record.
   *
   * @param record - the record.
   * @param expectedEnd - the append takes effect only if the log ends here.
   * @param signal - cancels the wait for an answer.
   * @returns the offset of the record, or why it was not appended.
   */
  abstract append(
    record: LeaseRecord,
    expectedEnd: number,
    signal: AbortSignal,
  ): Promise<Result<number, LeaseError>>;
}
