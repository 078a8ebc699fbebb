/** Which other zones have a replica ready. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';

/** What was heard of a zone counts for so long, in milliseconds. */
const STALE_MS = 90_000;

const readySummarySchema = z.object({
  zone: z.string(),
  /** Fencing number of the controller's lease. */
  fencing: z.number().int(),
  /** Counts up under one lease. */
  sequence: z.number().int(),
  /** Whether `ready` lists every model, not only new ones. */
  whole: z.boolean(),
  /** Models with a ready replica and a free slot. */
  ready: z.array(z.string()),
  /** Models that have none any more. */
  gone: z.array(z.string()),
});

/** What a zone's controller tells the other zones. */
export type ReadySummary = z.output<typeof readySummarySchema>;

/** A controller tells a host of another zone, which tells its own zone. */
export const READY_SUMMARY: PeerMethod<ReadySummary, {taken: true}> = {
  name: 'routing.ready-summary',
  body: readySummarySchema,
  event: z.object({taken: z.literal(true)}),
};

/** A host passes a summary on to the hosts of its zone. */
export const READY_RELAY: PeerMethod<ReadySummary, never> = {
  name: 'routing.ready-relay',
  body: readySummarySchema,
  event: z.never(),
};

interface KnownZone {
  models: Set<string>;
  fencing: number;
  sequence: number;
  heardMs: number;
}

/**
 * A hint: an entry may be late or wrong. A missed summary is made good by the
 * next whole one.
 */
export class ReadyZones {
  private readonly zones = new Map<string, KnownZone>();

  /** @param clock - source of time. */
  constructor(private readonly clock: Clock) {}

  /** @param summary - ignored if it is older than what is known. */
  update(summary: ReadySummary): void {
    const {zone, fencing, sequence, whole, ready, gone} = summary;
    const known = this.zones.get(zone);
    if (known !== undefined && !isNewer(summary, known)) return;
    const models = new Set(whole ? [] : known?.models);
    for (const model of ready) models.add(model);
    for (const model of gone) models.delete(model);
    const heardMs = this.clock.now();
    this.zones.set(zone, {models, fencing, sequence, heardMs});
  }

  /** @returns zones that lately had a free replica of a model. */
  zonesFor(model: string): string[] {
    const sinceMs = this.clock.now() - STALE_MS;
    const zones: string[] = [];
    for (const [zone, {models, heardMs}] of this.zones) {
      if (heardMs >= sinceMs && models.has(model)) zones.push(zone);
    }
    return zones;
  }
}

function isNewer(summary: ReadySummary, known: KnownZone): boolean {
  const {fencing, sequence} = summary;
  if (fencing !== known.fencing) return fencing > known.fencing;
  return sequence > known.sequence;
}
