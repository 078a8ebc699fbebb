/** Keeps the quarantine in an archive. @packageDocumentation */

import {StoredEntries} from '../archive/stored_entries.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {PartLedger} from './part_ledger.js';
import {PartState} from './part_record.js';
import {QuarantineArchive} from './quarantine_archive.js';

/** Interval of checks for states to store. */
const CHECK_INTERVAL_MS = 500;

/** Delay after a failed call; each call to the archive is priced. */
const RETRY_DELAY_MS = 1_000;

/**
 * Interval of reads of a host that hears no deciding host, and of the deciding
 * host, which learns in this way what operators have set and lifted.
 */
const LONE_READ_INTERVAL_MS = 1_000;
const DECIDING_READ_INTERVAL_MS = 5_000;

/** Ends of a quarantine may differ by this: hosts date them by their clocks. */
const END_TOLERANCE_MS = 1_000;

/** A quarantine in the archive. */
interface StoredQuarantine {
  /** See {@link PartState}. */
  count: number;
  /** Clock time at which it ends. */
  untilMs: number;
}

/** Stands for a part that an operator has lifted. */
const LIFTED: StoredQuarantine = {count: -1, untilMs: -Infinity};

/** Dependencies of a {@link QuarantineKeeper}. */
export interface QuarantineKeeperParts {
  clock: Clock;
  logger: Logger;
  ledger: PartLedger;
  archive: QuarantineArchive;
  /** Whether this host has learned the states from a deciding host. */
  hasExchanged: () => boolean;
  /** Whether this host decides for all. */
  isDeciding: () => boolean;
  /** Whether another host decides and is heard. */
  isGuided: () => boolean;
}

/**
 * Reads the archive when the host starts, and reads and writes it while the
 * host decides for all or for itself: other hosts without a deciding host and
 * operators write to it as well.
 */
export class QuarantineKeeper {
  /** Quarantines in the archive by part; undefined if not known. */
  private stored: StoredEntries<StoredQuarantine> | undefined;
  private lastReadMs = -Infinity;
  private hasRead = false;

  /** @param parts - see {@link QuarantineKeeperParts}. */
  constructor(private readonly parts: QuarantineKeeperParts) {}

  /** Whether the host knows what was quarantined before it started. */
  get isInformed(): boolean {
    return this.hasRead || this.parts.hasExchanged();
  }

  /**
   * Reads and writes the archive until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const isDone = await this.update(signal);
      await clock.sleep(isDone ? CHECK_INTERVAL_MS : RETRY_DELAY_MS, signal);
    }
  }

  /** Makes the calls that are due; returns whether none failed. */
  private async update(signal: AbortSignal): Promise<boolean> {
    const {isDeciding, isGuided, ledger} = this.parts;
    if (!this.isInformed) return this.read(signal);
    if (isGuided()) {
      this.stored = undefined;
      return true;
    }
    if (this.stored?.isCurrent === false) this.stored = undefined;
    if (ledger.size === 0 && this.stored === undefined && !isDeciding())
      return true;
    const intervalMs = isDeciding()
      ? DECIDING_READ_INTERVAL_MS
      : LONE_READ_INTERVAL_MS;
    const isReadDue = this.parts.clock.now() - this.lastReadMs >= intervalMs;
    if (this.stored === undefined || isReadDue) {
      if (!(await this.read(signal))) return false;
    }
    return this.write(signal);
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const {archive, clock, ledger, logger} = this.parts;
    this.lastReadMs = clock.now();
    const archived = await archive.read(signal);
    if (archived.isErr()) return false;
    const {content, era} = archived.value;
    const {lifted, states} = content;
    this.stored = new StoredEntries(archive, era);
    for (const state of states) this.stored.set(state.part, this.date(state));
    for (const part of lifted) {
      this.stored.set(part, LIFTED);
      ledger.clear(part, 'lifted by an operator');
    }
    if (!this.hasRead) logger.info('quarantine_read', {parts: states.length});
    this.hasRead = true;
    ledger.mergeEvidence(states);
    return true;
  }

  private async write(signal: AbortSignal): Promise<boolean> {
    const {archive, ledger, logger} = this.parts;
    const {stored} = this;
    if (stored === undefined) return true;
    const changed: PartState[] = [];
    const kept = new Set<string>();
    for (const state of ledger.states()) {
      if (state.quarantineCount === 0) continue;
      kept.add(state.part);
      const known = this.date(state);
      if (!isStored(known, stored.get(state.part))) changed.push(state);
    }
    for (const part of stored.keys()) {
      if (!kept.has(part)) changed.push(ledger.stateOf(part));
    }
    if (changed.length === 0) return true;
    const dated = changed.map(state => this.date(state));
    const written = await archive.write(changed, signal);
    if (written.isErr()) {
      // The states may have been stored all the same.
      this.stored = undefined;
      return false;
    }
    for (const [i, {part, quarantineCount}] of changed.entries()) {
      if (quarantineCount === 0) stored.delete(part);
      else stored.set(part, dated[i]);
    }
    logger.info('quarantine_stored', {parts: changed.length});
    return true;
  }

  private date({
    quarantineCount,
    quarantineLeftMs,
  }: PartState): StoredQuarantine {
    const isOver = quarantineLeftMs === 0;
    const endMs = this.parts.clock.now() + quarantineLeftMs;
    const untilMs = isOver ? -Infinity : endMs;
    return {count: quarantineCount, untilMs};
  }
}

/**
 * Returns whether an archive holds a quarantine. The count starts anew when a
 * part is proven sound, so that two quarantines can share it.
 */
function isStored(
  known: StoredQuarantine,
  stored: StoredQuarantine | undefined,
): boolean {
  if (stored?.count !== known.count) return false;
  return stored.untilMs >= known.untilMs - END_TOLERANCE_MS;
}
