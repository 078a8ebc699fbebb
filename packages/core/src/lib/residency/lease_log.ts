/** Interface of the log that holds the order lease. @packageDocumentation */

import {Result} from 'neverthrow';
import {LogPosition} from '../platform/log_position.js';

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
  /**
   * Fencing number of the claim. Unset in records of hosts of an earlier release,
   * whose number is the revision of the claim, or its offset if they name no era.
   */
  fencing?: number;
  /**
   * Era of the log for which the record was written: a late append may take
   * effect in a newer one. Unset in records of hosts of an earlier release.
   */
  era?: number;
}

/** A record and where it is. */
export interface LeaseEntry {
  record: LeaseRecord;
  offset: number;
}

/** What a read of the log returns. */
export interface LeaseTail {
  /** Era of the log when it answered. */
  era: number;
  /** Offset after the newest record. */
  end: number;
  /**
   * Records from the position that was asked for; all that are retained if the
   * log does not have it.
   */
  entries: LeaseEntry[];
  /**
   * Whether the log came back from an older copy since the position that was
   * asked for, even if it names no other era.
   */
  isRestored: boolean;
}

/** Reasons why an append failed. */
export const LEASE_ERROR = {
  /** The log no longer ends where the writer expected. */
  conflict: 'conflict',
  /** The log did not answer; the record may still be appended. */
  unknown: 'unknown',
} as const;

/** One of {@link LEASE_ERROR}. */
export type LeaseError = (typeof LEASE_ERROR)[keyof typeof LEASE_ERROR];

/**
 * A log with conditional appends: the writer names the end that it expects. The
 * log may come back from an older copy, which begins a new era. A condition is
 * about the offset alone, so that an append of an earlier era may take effect.
 */
export abstract class LeaseLog {
  /**
   * Reads records.
   *
   * @param from - position to read from.
   * @param waitMs - how long the log may wait for a record.
   * @param signal - cancels the read.
   * @returns the records, or that the log did not answer.
   */
  abstract read(
    from: LogPosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LeaseTail, 'unavailable'>>;

  /**
   * Appends a record.
   *
   * @param record - the record.
   * @param expectedEnd - the append takes effect only if the log ends at this
   *     offset.
   * @param signal - cancels the wait for an answer.
   * @returns the position of the record, whose era may be a newer one than the
   *     writer knew, or why it was not appended.
   */
  abstract append(
    record: LeaseRecord,
    expectedEnd: number,
    signal: AbortSignal,
  ): Promise<Result<LogPosition, LeaseError>>;
}
