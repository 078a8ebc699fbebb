/** The zone lease as the zone's stream tells it. @packageDocumentation */

import {z} from 'zod';
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

const claimOffsetSchema = z.object({claim: z.number().int()});

/** The holder renews its lease. */
export const RENEW: ZoneRecordType<z.output<typeof claimOffsetSchema>> = {
  type: 'lease-renew',
  body: claimOffsetSchema,
};

/** The holder gives its lease up, so that another may claim at once. */
export const RELEASE: ZoneRecordType<z.output<typeof claimOffsetSchema>> = {
  type: 'lease-release',
  body: claimOffsetSchema,
};

/** A lease that was claimed and not superseded. */
export interface Lease {
  host: string;
  incarnation: string;
  ttlMs: number;
  /** Offset of the claim. */
  fencing: number;
  /** Offset of the claim or of its latest renewal. */
  lastRecord: number;
  released: boolean;
}

/**
 * Applies claims by one rule at every reader: a claim counts only if it names
 * the last record of the lease that it replaces, so a renewal in between
 * defeats it, and of two racing claims the first in the log wins.
 */
export class LeaseState {
  private lease: Lease | undefined;
  private readonly listeners: Array<() => void> = [];

  /** @param stream - the zone's stream; the state follows it. */
  constructor(stream: ZoneStream) {
    stream.on(CLAIM, (claim, {offset}) => {
      const {host, incarnation, ttlMs, supersedes} = claim;
      if (supersedes !== (this.lease?.lastRecord ?? null)) return;
      this.lease = {
        host,
        incarnation,
        ttlMs,
        fencing: offset,
        lastRecord: offset,
        released: false,
      };
      this.changed();
    });
    stream.on(RENEW, ({claim}, {offset}) => {
      if (this.lease?.fencing !== claim || this.lease.released) return;
      this.lease.lastRecord = offset;
      this.changed();
    });
    stream.on(RELEASE, ({claim}, {offset}) => {
      if (this.lease?.fencing !== claim) return;
      this.lease.released = true;
      this.lease.lastRecord = offset;
      this.changed();
    });
  }

  /** The latest lease, which may have lapsed. */
  get current(): Lease | undefined {
    return this.lease;
  }

  /** @param listener - called after each accepted record. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
