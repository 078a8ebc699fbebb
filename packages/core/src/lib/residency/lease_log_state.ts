/** What a host knows of the log of the order lease. @packageDocumentation */

import {FIRST_ERA, LogPosition, revisionOf} from '../platform/log_position.js';
import {Clock} from '../time/clock.js';
import {LeaseEntry, LeaseRecord, LeaseTail} from './lease_log.js';

/** Lowest fencing number that has a part for an era above zero. */
const FIRST_ERA_REVISION = revisionOf({era: FIRST_ERA, offset: 0});

/** Fencing number before any claim, lower than that of any. */
export const NO_CLAIM = -1;

/** Dependencies of a {@link LeaseLogState}. */
export interface LeaseLogStateParts {
  clock: Clock;
  /** Time for which a lease holds that no record shows, in milliseconds. */
  leaseTtlMs: number;
  /** See {@link OrderLeaseParts.isFirstStart}. */
  isFirstStart: boolean;
  /** Called when the log came back from an older copy, with its new era. */
  onRestored: (era: number) => void;
}

/**
 * Follows the records of the log over its eras. A record of an older claim than
 * the newest one changes nothing, whichever era it is read in.
 */
export class LeaseLogState {
  private knownEnd: LogPosition = {era: 0, offset: 0};
  private newestRecord: LeaseRecord | undefined;
  private newestEra = 0;
  /** Revision of the claim of the newest record. */
  private newestRevision = NO_CLAIM;
  private newestFencing = NO_CLAIM;
  /** Whether a fencing number with an era may be in use. */
  private hasEraNumber = false;
  private newestClaimOffset = 0;
  private newestSeenMs = -Infinity;
  private unrecordedMs = -Infinity;
  private hasReadLog = false;

  /** @param parts - see {@link LeaseLogStateParts}. */
  constructor(private readonly parts: LeaseLogStateParts) {}

  /**
   * Position after the newest record that this host knows; another object each
   * time that it changes.
   */
  get end(): LogPosition {
    return this.knownEnd;
  }

  /** The newest record that this host knows, maybe of an earlier era. */
  get newest(): LeaseRecord | undefined {
    return this.newestRecord;
  }

  /** Fencing number of the claim of the newest record. */
  get fencing(): number {
    return this.newestFencing;
  }

  /**
   * Fencing number of a claim at the end that this host knows. In the first era
   * it is the offset of the claim, as hosts of an earlier release order with that
   * alone, unless a number with an era is in use, as other releases give them in
   * the first era, too.
   */
  get nextFencing(): number {
    const {era, offset} = this.knownEnd;
    if (era <= FIRST_ERA && !this.hasEraNumber) return offset;
    return revisionOf(this.knownEnd);
  }

  /** Offset of that claim. */
  get claimOffset(): number {
    return this.newestClaimOffset;
  }

  /** Clock time at which this host saw the newest record. */
  get seenMs(): number {
    return this.newestSeenMs;
  }

  /** Clock time until which a lease may hold whose record is not in the log. */
  get unrecordedUntilMs(): number {
    return this.unrecordedMs;
  }

  /** Whether the log has been read. */
  get hasRead(): boolean {
    return this.hasReadLog;
  }

  /**
   * Whether the newest record is of a claim of the current era of the log. One of
   * a host of an earlier release names no era, and counts as current.
   */
  get isNewestCurrent(): boolean {
    return (
      this.newestRecord !== undefined && this.newestEra === this.knownEnd.era
    );
  }

  /** Whether the newest record is surely of the current era of the log. */
  get isNewestOfThisEra(): boolean {
    return this.newestRecord?.era !== undefined && this.isNewestCurrent;
  }

  /** Returns whether a host means the newest claim by a fencing number. */
  isOfNewestClaim(fencing: number): boolean {
    return this.newestRecord !== undefined && fencing === this.newestFencing;
  }

  /**
   * Records that the newest lease was renewed by a record before an offset, which
   * binds this host from now on.
   */
  recordRenewedBefore(offset: number): void {
    if (!this.isNewestCurrent || offset <= this.knownEnd.offset) return;
    this.knownEnd = {era: this.knownEnd.era, offset};
    this.newestSeenMs = this.parts.clock.now();
  }

  /**
   * Adopts what a read has returned.
   *
   * @returns whether it did; not if the log has answered before it came back from
   *     the copy that this host knows of.
   */
  adoptTail({end, entries, era, isRestored}: LeaseTail): boolean {
    if (this.hasReadLog && era < this.knownEnd.era) return false;
    const isNewEra = era !== this.knownEnd.era || isRestored;
    const knownOffset = isNewEra ? 0 : this.knownEnd.offset;
    if (isNewEra && this.hasReadLog) this.beginEra(era);
    if (end > knownOffset || isNewEra) this.knownEnd = {era, offset: end};
    for (const entry of entries) this.adoptRecord(entry);
    const readEnd = (entries.at(-1)?.offset ?? knownOffset - 1) + 1;
    // What can't be decoded, or is no longer retained, may be of a holder.
    const hasUnread = end > knownOffset && readEnd !== end;
    const isFirstUse = this.parts.isFirstStart && !this.hasReadLog && end === 0;
    const hasNoRecord = !this.isNewestCurrent && isNewEra && !isFirstUse;
    if (hasUnread || hasNoRecord) this.awaitUnrecorded();
    if (hasUnread) this.hasEraNumber = true;
    this.hasReadLog = true;
    return true;
  }

  /**
   * Adopts a record that this host has appended.
   *
   * @returns whether it is the newest one; not if this host has learned of a
   *     newer era meanwhile, or knows of a newer claim.
   */
  adoptAppended(record: LeaseRecord, {era, offset}: LogPosition): boolean {
    if (this.knownEnd.era !== era) return false;
    const endOffset = Math.max(this.knownEnd.offset, offset + 1);
    this.knownEnd = {era, offset: endOffset};
    this.adoptRecord({record, offset});
    return this.newestRecord === record;
  }

  private adoptRecord({offset, record}: LeaseEntry): void {
    const {claimOffset = offset, era = this.knownEnd.era} = record;
    const revision = revisionOf({era, offset: claimOffset});
    if (claimOffset > offset) {
      // A late renewal, whose claim the log has lost.
      this.awaitUnrecorded();
      return;
    }
    // A late append of an earlier era, or a record that only the copy has.
    if (revision < this.newestRevision) return;
    this.newestRecord = record;
    this.newestEra = era;
    this.newestRevision = revision;
    this.newestFencing = fencingOf(record, claimOffset);
    if (this.newestFencing >= FIRST_ERA_REVISION) this.hasEraNumber = true;
    this.newestClaimOffset = claimOffset;
    this.newestSeenMs = this.parts.clock.now();
    // A claim of this era was made when nobody else could hold the lease.
    if (record.era === this.knownEnd.era) this.unrecordedMs = -Infinity;
  }

  /** Begins anew at a log that came back from an older copy. */
  private beginEra(era: number): void {
    this.parts.onRestored(era);
    if (era === this.knownEnd.era) {
      // The log names no other era: the numbers of its records say nothing.
      this.newestRecord = undefined;
      this.newestRevision = NO_CLAIM;
      this.newestFencing = NO_CLAIM;
    }
    this.awaitUnrecorded();
  }

  /** Makes this host wait until a lease that no record shows has expired. */
  private awaitUnrecorded(): void {
    this.unrecordedMs = this.parts.clock.now() + this.parts.leaseTtlMs;
  }
}

/** Returns the fencing number of the claim that a record is of. */
function fencingOf({era, fencing}: LeaseRecord, claimOffset: number): number {
  if (fencing !== undefined) return fencing;
  return era === undefined
    ? claimOffset
    : revisionOf({era, offset: claimOffset});
}
