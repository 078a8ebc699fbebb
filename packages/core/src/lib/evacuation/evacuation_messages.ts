/** The evacuated zones as hosts pass them on to each other. @packageDocumentation */

import {z} from 'zod';
import {EVACUATION_SOURCE, ZoneEvacuations} from './zone_evacuations.js';

/**
 * Age up to which the end of an evacuation is passed on. A target is cold for
 * about 3 s after it, and a host learns of it within 5 s.
 */
const ENDED_REPORT_MS = 10_000;

/** Schema of {@link EvacuationSet}. */
export const evacuationSetSchema = z.object({
  /** Revision of the newest record that the set covers. */
  revision: z.number(),
  zones: z.array(z.string()),
  /** Whether the store may not list all of them, or may have lost others. */
  isProvisional: z.boolean().optional(),
  /** Evacuations that ended lately, and how many milliseconds ago. */
  ended: z
    .array(
      z.object({zone: z.string(), revision: z.number(), agoMs: z.number()}),
    )
    .optional(),
});

/** All evacuated zones that a host knows. */
export type EvacuationSet = z.output<typeof evacuationSetSchema>;

/**
 * Returns the message with all evacuated zones.
 *
 * @param evacuations - the zones.
 * @param nowMs - clock time.
 */
export function evacuationSetOf(
  evacuations: ZoneEvacuations,
  nowMs: number,
): EvacuationSet {
  const {isProvisional, revision, zones} = evacuations;
  const ended = evacuations
    .endedSince(nowMs - ENDED_REPORT_MS)
    .map(({zone, revision: endRevision, endedMs}) => ({
      zone,
      revision: endRevision,
      agoMs: nowMs - endedMs,
    }));
  return {
    revision,
    zones: [...zones],
    isProvisional: isProvisional || undefined,
    ended: ended.length > 0 ? ended : undefined,
  };
}

/**
 * Applies a message of another host.
 *
 * @param evacuations - the zones that this host knows.
 * @param set - the message.
 * @param nowMs - clock time.
 * @param isRefilling - whether the store that the sender reads may lack records.
 */
export function applyEvacuationSet(
  evacuations: ZoneEvacuations,
  set: EvacuationSet,
  nowMs: number,
  isRefilling: boolean,
): void {
  const {isProvisional, revision, zones} = set;
  const isCurrent = revision >= evacuations.revision;
  const isNewer = revision > evacuations.revision;
  const {peer} = EVACUATION_SOURCE;
  // A provisional set that comes late must not undo a complete one.
  if (isRefilling || (isProvisional && isNewer))
    evacuations.addAll(zones, revision, peer);
  else if (!isProvisional) evacuations.replaceAll(zones, revision, peer);
  if (!isCurrent) return;
  for (const {agoMs, ...end} of set.ended ?? [])
    evacuations.recordEnd({...end, endedMs: nowMs - agoMs});
}
