/** The zone lease as the zone's stream tells it. @packageDocumentation */

import {z} from 'zod';
import {MemberTable} from './member_table.js';
import {ZoneStatePart} from './zone_state.js';
import {ZoneRecordType, ZoneStream} from './zone_stream.js';

const claimSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  ttlMs: z.number().positive(),
  /** Offset of the lease's last record that the claimant let lapse. */
  supersedes: z.number().int().nullable(),
});

/** A host claims the lease; the record's offset is the fencing number. */
export const CLAIM: ZoneRecordType<z.output<typeof claimSchema>> = {
  type: 'lease-claim',
  body: claimSchema,
};

const renewSchema = z.object({claim: z.number().int()});

/** The holder renews its lease. */
export const RENEW: ZoneRecordType<z.output<typeof renewSchema>> = {
  type: 'lease-renew',
  body: renewSchema,
};

const releaseSchema = z.object({
  claim: z.number().int(),
  /** Whether every order of the holder had ended. */
  settled: z.boolean(),
});

/** The holder gives its lease up, so that another may claim at once. */
export const RELEASE: ZoneRecordType<z.output<typeof releaseSchema>> = {
  type: 'lease-release',
  body: releaseSchema,
};

const probeSchema = z.object({host: z.string()});

/** A consenting member tries whether it reaches the log; nothing follows. */
export const PROBE: ZoneRecordType<z.output<typeof probeSchema>> = {
  type: 'lease-probe',
  body: probeSchema,
};

const leaseSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  ttlMs: z.number(),
  /** Offset of the claim. */
  fencing: z.number().int(),
  /** Offset of the claim or of its latest renewal. */
  lastRecord: z.number().int(),
  released: z.boolean(),
  /** Whether no order of this holder can be under way; see {@link RELEASE}. */
  settled: z.boolean(),
  /** Whether no order of an earlier holder could be under way at the claim. */
  afterSettled: z.boolean(),
});

/** A lease that was claimed and not superseded. */
export type Lease = z.output<typeof leaseSchema>;

/**
 * Applies claims by one rule at every reader: a claim counts only if it names
 * the last record of the lease that it replaces, so a renewal in between
 * defeats it, and of two racing claims the first in the log wins. Claims and
 * renewals of a host that is not a member at that offset do not count, nor do
 * claims right after records were lost, while hosts put their states back.
 */
export class LeaseState implements ZoneStatePart {
  private lease: Lease | undefined;
  private readonly listeners: Array<() => void> = [];

  /**
   * @param stream - the zone's stream; the state follows it.
   * @param members - must follow the same stream.
   */
  constructor(
    private readonly stream: ZoneStream,
    private readonly members: MemberTable,
  ) {
    stream.keep('lease', this);
    stream.on(CLAIM, (claim, {offset}, settled) => {
      if (settled) this.claim(claim, offset);
    });
    stream.on(RENEW, ({claim}, {offset}) => this.renew(claim, offset));
    stream.on(RELEASE, ({claim, settled}, {offset}) =>
      this.release(claim, settled, offset),
    );
  }

  /** The latest lease, which may have lapsed. */
  get current(): Lease | undefined {
    return this.lease;
  }

  /** @param listener - called after each accepted record. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Part of {@link ZoneStatePart}. */
  capture(): unknown {
    return this.lease === undefined ? null : {...this.lease};
  }

  /** Part of {@link ZoneStatePart}. */
  prepare(state: unknown): (() => void) | undefined {
    const parsed = leaseSchema.nullable().safeParse(state);
    if (!parsed.success) return undefined;
    return () => {
      this.lease = parsed.data ?? undefined;
    };
  }

  /** Part of {@link ZoneStatePart}. */
  restored(): void {
    this.changed();
  }

  private claim(body: z.output<typeof claimSchema>, offset: number): void {
    const {host, incarnation, ttlMs, supersedes} = body;
    const {lease} = this;
    if (supersedes !== (lease?.lastRecord ?? null)) return;
    if (!this.isMember(host, incarnation)) return;
    const afterSettled =
      lease === undefined ? !this.stream.truncated : lease.settled;
    this.lease = {
      host,
      incarnation,
      ttlMs,
      fencing: offset,
      lastRecord: offset,
      released: false,
      settled: false,
      afterSettled,
    };
    this.changed();
  }

  private renew(claim: number, offset: number): void {
    const {lease} = this;
    if (lease?.fencing !== claim || lease.released) return;
    if (!this.isMember(lease.host, lease.incarnation)) return;
    lease.lastRecord = offset;
    this.changed();
  }

  private release(claim: number, settled: boolean, offset: number): void {
    const {lease} = this;
    if (lease?.fencing !== claim || lease.released) return;
    lease.released = true;
    lease.settled = settled;
    lease.lastRecord = offset;
    this.changed();
  }

  private isMember(host: string, incarnation: string): boolean {
    return this.members.get(host)?.incarnation === incarnation;
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
