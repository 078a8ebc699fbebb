/** State of the zone lease, built from the zone's stream. @packageDocumentation */

import {z} from 'zod';
import {MemberTable} from './member_table.js';
import {ZoneStatePart} from './zone_state.js';
import {ZoneRecordType, ZoneStream} from './zone_stream.js';

const claimSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  ttlMs: z.number().positive(),
  /** Offset of the last record of the expired lease that the claim replaces. */
  supersedes: z.number().int().nullable(),
});

/** Claims the lease. The offset of the record is the fencing number. */
export const CLAIM: ZoneRecordType<z.output<typeof claimSchema>> = {
  type: 'lease-claim',
  body: claimSchema,
};

const renewSchema = z.object({claim: z.number().int()});

/** Renews the lease of its holder. */
export const RENEW: ZoneRecordType<z.output<typeof renewSchema>> = {
  type: 'lease-renew',
  body: renewSchema,
};

const releaseSchema = z.object({
  claim: z.number().int(),
  /** Whether all orders of the holder had ended. */
  settled: z.boolean(),
});

/** Releases the lease, so that another host may claim it at once. */
export const RELEASE: ZoneRecordType<z.output<typeof releaseSchema>> = {
  type: 'lease-release',
  body: releaseSchema,
};

const probeSchema = z.object({host: z.string()});

/** Tests whether a consenting member reaches the log. Readers ignore it. */
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
  /** Whether all orders of this holder have ended; see {@link RELEASE}. */
  settled: z.boolean(),
  /**
   * Whether all orders of earlier holders had ended at the time of the claim.
   */
  afterSettled: z.boolean(),
});

/** The latest claimed lease. */
export type Lease = z.output<typeof leaseSchema>;

/**
 * Applies the lease records by the same rules at every reader.
 *
 * A claim is accepted only if it names the last record of the lease that it
 * replaces. A renewal in between therefore defeats the claim, and of two
 * concurrent claims the first in the log wins. Claims and renewals of a host
 * that is not a member at that offset are ignored. So are claims shortly after
 * the log lost records, while hosts restore their states.
 */
export class LeaseState implements ZoneStatePart {
  private lease: Lease | undefined;
  private readonly listeners: Array<() => void> = [];

  /**
   * @param stream - stream of the zone, from which the state is built.
   * @param members - members of the zone, built from the same stream.
   */
  constructor(
    private readonly stream: ZoneStream,
    private readonly members: MemberTable,
  ) {
    stream.addStatePart('lease', this);
    stream.on(CLAIM, (claim, {offset}, settled) => {
      if (settled) this.claim(claim, offset);
    });
    stream.on(RENEW, ({claim}, {offset}) => this.renew(claim, offset));
    stream.on(RELEASE, ({claim, settled}, {offset}) =>
      this.release(claim, settled, offset),
    );
  }

  /** The latest lease, which may have expired. */
  get current(): Lease | undefined {
    return this.lease;
  }

  /** @param listener - called after each accepted record. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Implements {@link ZoneStatePart}. */
  capture(): unknown {
    return this.lease === undefined ? null : {...this.lease};
  }

  /** Implements {@link ZoneStatePart}. */
  prepareRestore(state: unknown): (() => void) | undefined {
    const parsed = leaseSchema.nullable().safeParse(state);
    if (!parsed.success) return undefined;
    return () => {
      this.lease = parsed.data ?? undefined;
    };
  }

  /** Implements {@link ZoneStatePart}. */
  notifyRestored(): void {
    this.notifyListeners();
  }

  private claim(body: z.output<typeof claimSchema>, offset: number): void {
    const {host, incarnation, ttlMs, supersedes} = body;
    const {lease} = this;
    if (supersedes !== (lease?.lastRecord ?? null)) return;
    if (!this.isMember(host, incarnation)) return;
    const afterSettled =
      lease === undefined ? !this.stream.isTruncated : lease.settled;
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
    this.notifyListeners();
  }

  private renew(claim: number, offset: number): void {
    const {lease} = this;
    if (lease?.fencing !== claim || lease.released) return;
    if (!this.isMember(lease.host, lease.incarnation)) return;
    lease.lastRecord = offset;
    this.notifyListeners();
  }

  private release(claim: number, settled: boolean, offset: number): void {
    const {lease} = this;
    if (lease?.fencing !== claim || lease.released) return;
    lease.released = true;
    lease.settled = settled;
    lease.lastRecord = offset;
    this.notifyListeners();
  }

  private isMember(host: string, incarnation: string): boolean {
    return this.members.get(host)?.incarnation === incarnation;
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
