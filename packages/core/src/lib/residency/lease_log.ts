/** The log on which the order lease is decided. @packageDocumentation */

import {Result} from 'neverthrow';

/** What happened to the lease. */
export const LEASE_EVENT = {
  claim: 'claim',
  renew: 'renew',
  release: 'release',
} as const;

/** A record of the lease. */
export interface LeaseRecord {
  event: (typeof LEASE_EVENT)[keyof typeof LEASE_EVENT];
  /** Name under which the host's peers reach it. */
  host: string;
  /** Name of the machine, under which it gives orders. */
  owner: string;
  /** Differs for every start of the host. */
  incarnation: string;
  /** How long the record holds, counted from before it was appended. */
  ttlMs: number;
  /** Time from before the append until the holder may order. */
  ordersInMs: number;
  /** Hosts that the holder hears, itself included. */
  hosts: number;
  /** Offset of the claim that is renewed or released; unset in a claim. */
  claimOffset?: number;
}

/** Records from an offset on. */
export interface LeaseTail {
  /** The newest record, if there is any at or after the offset asked for. */
  newest: LeaseRecord | undefined;
  /** Offset after the newest record. */
  end: number;
}

/** Why a record was not appended. */
export const LEASE_ERROR = {
  /** Another record came first. */
  conflict: 'conflict',
  /** The log did not answer; the record may still be appended. */
  unknown: 'unknown',
} as const;

/** One of {@link LEASE_ERROR}. */
export type LeaseError = (typeof LEASE_ERROR)[keyof typeof LEASE_ERROR];

/** A log with appends that are bound to its end. */
export abstract class LeaseLog {
  /**
   * @param from - offset to read from.
   * @param waitMs - how long the log may wait for a record.
   * @param signal - ends the read.
   * @returns what was appended, or that the log did not answer.
   */
  abstract read(
    from: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<LeaseTail, 'unavailable'>>;

  /**
   * @param record - what to append.
   * @param expectedEnd - the append takes place only if the log ends there.
   * @param signal - ends the wait for an answer.
   * @returns the offset of the record, or why there is none.
   */
  abstract append(
    record: LeaseRecord,
    expectedEnd: number,
    signal: AbortSignal,
  ): Promise<Result<number, LeaseError>>;
}
