/** Models that are ready in other zones. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';

/** Time after which the state of a zone is stale, in milliseconds. */
const STALE_AFTER_MS = 90_000;

const readySummarySchema = z.object({
  zone: z.string(),
  /** Fencing number of the controller's lease. */
  fencing: z.number().int(),
  /** Increases with each summary under the same lease. */
  sequence: z.number().int(),
  /** Whether `ready` lists all models, not only newly ready ones. */
  whole: z.boolean(),
  /** Models that have a ready replica with a free slot. */
  ready: z.array(z.string()),
  /** Models that no longer have one. */
  gone: z.array(z.string()),
});

/** Summary of a zone's ready models that its controller sends to other zones. */
export type ReadySummary = z.output<typeof readySummarySchema>;

/** Sends a summary from a zone controller to a host of another zone. */
export const READY_SUMMARY: PeerMethod<ReadySummary, {taken: true}> = {
  name: 'routing.ready-summary',
  body: readySummarySchema,
  event: z.object({taken: z.literal(true)}),
};

/** Relays a received summary to the other hosts of the zone. */
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
 * Tracks which models are ready in other zones.
 *
 * The entries are hints, which may be outdated or wrong. A lost summary is
 * compensated by the next full one.
 */
export class ReadyZones {
  private readonly zones = new Map<string, KnownZone>();

  /** @param clock - measures the age of entries. */
  constructor(private readonly clock: Clock) {}

  /**
   * Applies a summary, unless a newer one of the zone was applied before.
   *
   * @param summary - the received summary.
   */
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

  /** Returns the zones that recently had a free, ready replica of a model. */
  zonesFor(model: string): string[] {
    const sinceMs = this.clock.now() - STALE_AFTER_MS;
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
