/** Availability zones that the operator has evacuated. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Where a host has learned of a record: from the store or from a peer. */
export const EVACUATION_SOURCE = {store: 'store', peer: 'peer'} as const;

/** One of {@link EVACUATION_SOURCE}. */
export type EvacuationSource =
  (typeof EVACUATION_SOURCE)[keyof typeof EVACUATION_SOURCE];

/** A zone that was evacuated or returned to service. */
export interface ZoneChange {
  zone: string;
  isEvacuated: boolean;
  /** Revision of the record, or of the read, that it was learned from. */
  revision: number;
  source: EvacuationSource;
}

/** The end of an evacuation. */
export interface EndedEvacuation {
  zone: string;
  /** Revision of the record, or of the read, that ended it. */
  revision: number;
  /** Clock time at which it ended. */
  endedMs: number;
}

/** Revision before anything was read, lower than that of any record. */
const NO_REVISION = -1;

/**
 * The evacuated zones, as far as this host knows. Revisions order the records
 * of the operator: what comes from an older one changes nothing, whichever host
 * it comes from.
 */
export class ZoneEvacuations {
  private readonly evacuated = new Set<string>();
  private readonly endsByZone = new Map<string, EndedEvacuation>();
  private readonly listeners: Array<(change: ZoneChange) => void> = [];
  private currentRevision = NO_REVISION;
  private hasUnlisted = false;

  /** @param clock - dates the ends of evacuations. */
  constructor(private readonly clock: Clock) {}

  /** Returns whether nothing may be sent to the targets of a zone. */
  isEvacuated(zone: string): boolean {
    return this.evacuated.has(zone);
  }

  /**
   * Returns when the last evacuation of a zone ended, as seen by this host.
   *
   * @param zone - name of the zone.
   * @returns clock time in milliseconds; undefined if none has ended.
   */
  endedMs(zone: string): number | undefined {
    return this.endsByZone.get(zone)?.endedMs;
  }

  /** The evacuated zones, sorted by name. */
  get zones(): readonly string[] {
    return [...this.evacuated].sort();
  }

  /**
   * Revision of the newest record or complete read that was applied; -1 if
   * there was none.
   */
  get revision(): number {
    return this.currentRevision;
  }

  /**
   * Whether zones may be evacuated here that the store does not list, as it may
   * have lost their records; see {@link ZoneEvacuations.addAll}.
   */
  get isProvisional(): boolean {
    return this.hasUnlisted;
  }

  /**
   * Returns the evacuations that ended lately, for hosts that have missed them.
   *
   * @param sinceMs - clock time after which they ended.
   */
  endedSince(sinceMs: number): EndedEvacuation[] {
    return [...this.endsByZone.values()].filter(
      ({endedMs}) => endedMs >= sinceMs,
    );
  }

  /**
   * @param listener - called for each zone after it was evacuated or returned.
   */
  onChange(listener: (change: ZoneChange) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Replaces the set by that of a complete read.
   *
   * @param zones - all evacuated zones.
   * @param revision - revision of the newest record that the read covers. The
   *     set changes nothing if a newer one was applied.
   * @param source - where the set comes from.
   */
  replaceAll(
    zones: Iterable<string>,
    revision: number,
    source: EvacuationSource = EVACUATION_SOURCE.store,
  ): void {
    const isSame = revision === this.currentRevision;
    const isNewer = revision > this.currentRevision;
    if (!isNewer && !(isSame && this.hasUnlisted)) return;
    this.currentRevision = revision;
    this.hasUnlisted = false;
    const listed = new Set(zones);
    const returned = this.zones.filter(zone => !listed.has(zone));
    const added = [...listed].filter(zone => !this.evacuated.has(zone));
    // Listeners pass the whole set on, so they are called once it is complete.
    for (const zone of returned) this.apply(zone, false);
    for (const zone of added) this.apply(zone, true);
    for (const zone of returned) this.report(zone, source);
    for (const zone of added) this.report(zone, source);
  }

  /**
   * Adds the set of a complete read that may lack evacuated zones. All zones
   * stay evacuated until a set of the same revision, or of a later one, replaces
   * them, or a record returns them.
   *
   * @param zones - evacuated zones.
   * @param revision - revision of the newest record that the read covers. The
   *     set changes nothing if a newer one was applied.
   * @param source - where the set comes from.
   */
  addAll(
    zones: Iterable<string>,
    revision: number,
    source: EvacuationSource = EVACUATION_SOURCE.store,
  ): void {
    if (revision < this.currentRevision) return;
    this.currentRevision = revision;
    this.hasUnlisted = true;
    const added = [...zones].filter(zone => !this.evacuated.has(zone));
    for (const zone of added) this.apply(zone, true);
    for (const zone of added) this.report(zone, source);
  }

  /**
   * Applies a single record.
   *
   * @param zone - name of the zone.
   * @param isEvacuated - whether the record evacuates the zone or returns it.
   * @param revision - revision of the record, see {@link ZoneEvacuations}.
   * @param source - where the record comes from.
   */
  set(
    zone: string,
    isEvacuated: boolean,
    revision: number,
    source: EvacuationSource = EVACUATION_SOURCE.store,
  ): void {
    if (revision <= this.currentRevision) return;
    this.currentRevision = revision;
    if (isEvacuated === this.evacuated.has(zone)) return;
    this.apply(zone, isEvacuated);
    this.report(zone, source);
  }

  /**
   * Records the end of an evacuation that another host has seen. This host may
   * not have seen it, if the zone was returned soon after its evacuation or
   * before this host was started.
   *
   * @param end - the end; an older one than the known one changes nothing.
   */
  recordEnd(end: EndedEvacuation): void {
    const {revision, zone} = end;
    if (this.evacuated.has(zone)) return;
    const known = this.endsByZone.get(zone)?.revision ?? NO_REVISION;
    if (revision <= known) return;
    this.endsByZone.set(zone, end);
    this.report(zone, EVACUATION_SOURCE.peer);
  }

  private apply(zone: string, isEvacuated: boolean): void {
    if (isEvacuated) {
      this.evacuated.add(zone);
      return;
    }
    this.evacuated.delete(zone);
    const revision = this.currentRevision;
    this.endsByZone.set(zone, {zone, revision, endedMs: this.clock.now()});
  }

  private report(zone: string, source: EvacuationSource): void {
    const isEvacuated = this.evacuated.has(zone);
    const revision = this.currentRevision;
    for (const listener of this.listeners)
      listener({zone, isEvacuated, revision, source});
  }
}
