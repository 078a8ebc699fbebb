/** Decides which requests may be sent to targets that may crash on them. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Accusation, EndCase, GATHER_MS, requestOf} from './end_case.js';
import {PartRecord, PartState, STANDING, Standing} from './part_record.js';
import {PartRecords} from './part_records.js';
import {RunAtEnd, TargetEnd} from './target_end.js';
import {Trial} from './trial.js';

/** How long reports of the same process are taken together. */
const END_LIFETIME_MS = 10_000;

/**
 * Ends closer together than this count once: a rack that fails ends many
 * targets, and a sound part cannot be answered in between.
 */
const ENDS_APART_MS = 600;

/** Ends without an answer in between that quarantine a part without a trial. */
const QUARANTINE_ENDS = 4;

/** Duration of the first quarantine; that of a part doubles with each further. */
const FIRST_QUARANTINE_MS = 30_000;
const MAX_QUARANTINE_MS = 3_600_000;

/**
 * Duration of each further quarantine of a whole request, which serves nobody
 * else and is seldom tried again.
 */
const FURTHER_REQUEST_QUARANTINE_MS = 86_400_000;

/** Time after which a trial without a result no longer blocks the next one. */
const TRIAL_TIMEOUT_MS = 5_000;

/** How long a part without a new end stays suspect. */
const SUSPICION_LIFETIME_MS = 600_000;

/**
 * A message of another host may be this much older than it seems. An answer
 * that seems to have begun within this time after an end proves nothing.
 */
const MESSAGE_DELAY_MS = 100;

/**
 * Records under which prompt parts and whole requests targets ended, and derives
 * how each is treated. A request counts as the last of its own parts: what is
 * said of parts here holds for the digest of the request, too.
 *
 * A target that crashes on a part does so when it begins to answer, so that an
 * end accuses the parts of the runs that had just begun, or of those that
 * waited if none had. An answer to a request proves all of its parts sound. A
 * part is quarantined after an end in a trial, that is, in the only run with
 * the part at that time. An end under a quarantined part accuses no other, and
 * however often one request ends targets, that counts once against the parts
 * that other requests share with it.
 */
export class PartLedger {
  private readonly records = new PartRecords(record =>
    this.remove(record, 'too many parts'),
  );
  private readonly cases = new Map<string, EndCase>();
  private readonly changeListeners: Array<(part: string) => void> = [];
  private readonly quarantineListeners: Array<(part: string) => void> = [];

  /**
   * @param clock - measures ages.
   * @param logger - receives a line for each change of a part's standing.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Number of parts with a record. */
  get size(): number {
    return this.records.size;
  }

  /** @param listener - called with each part whose record changed. */
  onChange(listener: (part: string) => void): void {
    this.changeListeners.push(listener);
  }

  /** @param listener - called with each part that is quarantined. */
  onQuarantined(listener: (part: string) => void): void {
    this.quarantineListeners.push(listener);
  }

  /**
   * Returns how a part is treated.
   *
   * @param part - digest of the part.
   */
  standingOf(part: string): Standing {
    const record = this.records.get(part);
    return record?.standingAt(this.clock.now()) ?? STANDING.clear;
  }

  /**
   * Returns the remaining time of a part's quarantine, in milliseconds.
   *
   * @param part - digest of the part.
   */
  quarantineLeftMs(part: string): number {
    const untilMs = this.records.get(part)?.quarantinedUntilMs ?? -Infinity;
    return Math.max(0, untilMs - this.clock.now());
  }

  /**
   * Records the end of a process, or further runs that ended with it.
   *
   * @param end - the report of one host.
   */
  recordEnd(end: TargetEnd): void {
    const key = `${end.target} ${end.startedMs}`;
    const known = this.cases.get(key);
    const endCase = known ?? new EndCase(end.target, this.clock.now());
    if (known === undefined) {
      this.cases.set(key, endCase);
      this.clock.after(GATHER_MS, () => this.judge(endCase));
    }
    endCase.add(end);
    this.judge(endCase);
  }

  /**
   * Records that a target answered a request with a part.
   *
   * @param part - digest of the part.
   * @param begunAgoMs - time since the target began the answer.
   * @param isOwn - whether this host received the answer.
   */
  recordAnswer(part: string, begunAgoMs: number, isOwn: boolean): void {
    const record = this.records.get(part);
    if (record === undefined) return;
    const begunMs = this.clock.now() - begunAgoMs;
    const marginMs = isOwn ? 0 : MESSAGE_DELAY_MS;
    if (begunMs > record.lastEndMs + marginMs) {
      this.remove(record, 'answered');
    } else if (begunMs - marginMs > record.answeredMs) {
      const before = this.standingOf(part);
      record.answeredMs = begunMs - marginMs;
      this.reportChange(record, before);
    }
  }

  /**
   * Reserves the trial of all suspect parts of a request, if none of them and
   * no other part is tried at the same target.
   *
   * @param trial - the request and its target.
   * @returns the suspect parts; undefined if the request may not be sent now.
   */
  tryStartTrial({parts, requestId, target}: Trial): string[] | undefined {
    if (parts.some(part => this.isQuarantined(part))) return undefined;
    const nowMs = this.clock.now();
    const suspects = new Set(this.suspectsOf(parts));
    for (const record of this.records.all()) {
      const {trial} = record;
      if (trial === undefined || trial.untilMs <= nowMs) continue;
      if (trial.requestId === requestId) continue;
      if (suspects.has(record) || trial.target === target) return undefined;
    }
    const untilMs = nowMs + TRIAL_TIMEOUT_MS;
    for (const record of suspects) record.trial = {requestId, target, untilMs};
    return [...suspects].map(({part}) => part);
  }

  /**
   * Ends a trial, whatever its result.
   *
   * @param trial - the request and its target.
   */
  endTrial({parts, requestId}: Trial): void {
    for (const part of parts) {
      const record = this.records.get(part);
      if (record?.trial?.requestId === requestId) record.trial = undefined;
    }
  }

  /** Returns the time since the last end under a part, in milliseconds. */
  lastEndAgoMs(part: string): number {
    const lastEndMs = this.records.get(part)?.lastEndMs ?? -Infinity;
    return this.clock.now() - lastEndMs;
  }

  /**
   * Returns the state of a part; its number of ends is 0 if nothing is known.
   *
   * @param part - digest of the part.
   */
  stateOf(part: string): PartState {
    const record = this.records.get(part) ?? new PartRecord(part);
    return record.toState(this.clock.now());
  }

  /**
   * Returns whether hosts have to know of a part. Most requests that are watched
   * were bystanders and never come again, and their sends are not restricted.
   *
   * @param part - digest of the part.
   */
  concernsHosts(part: string): boolean {
    const isRequest = this.records.get(part)?.isRequest ?? false;
    return !isRequest || this.standingOf(part) !== STANDING.watched;
  }

  /** Returns the number of parts by standing. */
  countByStanding(): Record<Standing, number> {
    const nowMs = this.clock.now();
    const counts = {clear: 0, watched: 0, suspect: 0, quarantined: 0};
    for (const record of this.records.all()) {
      counts[record.standingAt(nowMs)] += 1;
    }
    return counts;
  }

  /** Returns the states of all parts with a record. */
  states(): PartState[] {
    const nowMs = this.clock.now();
    return this.records.all().map(record => record.toState(nowMs));
  }

  /**
   * Applies the decisions of the host that decides for all.
   *
   * @param states - states of parts; one without ends and quarantine clears a
   *     part.
   * @param isComplete - whether parts that are missing are clear.
   */
  applyDecisions(states: readonly PartState[], isComplete: boolean): void {
    const listed = new Set<string>();
    for (const state of states) {
      listed.add(state.part);
      this.applyState(state);
    }
    if (!isComplete) return;
    for (const record of this.records.all()) {
      if (!listed.has(record.part)) this.remove(record, 'not listed');
    }
  }

  /**
   * Adds evidence of another host. Nothing that is known here is lost.
   *
   * @param states - states of parts.
   */
  mergeEvidence(states: readonly PartState[]): void {
    const nowMs = this.clock.now();
    for (const state of states) {
      const known = this.records.get(state.part);
      const leftMs = (known?.quarantinedUntilMs ?? -Infinity) - nowMs;
      const isStronger =
        known === undefined ||
        state.quarantineLeftMs > Math.max(0, leftMs) ||
        (leftMs <= 0 && state.ends > known.ends);
      if (isStronger) this.applyState(state);
    }
  }

  /**
   * Quarantines a part, as an operator asks for.
   *
   * @param part - digest of the part.
   * @param forMs - duration in milliseconds.
   */
  setQuarantine(part: string, forMs: number): void {
    const record = this.records.obtain(part);
    const before = this.standingOf(part);
    record.ends = Math.max(1, record.ends);
    record.lastEndMs = this.clock.now();
    this.quarantine(record, before, forMs);
  }

  /**
   * Forgets all evidence against a part.
   *
   * @param part - digest of the part.
   * @param reason - why, for the log.
   */
  clear(part: string, reason: string): void {
    const record = this.records.get(part);
    if (record !== undefined) this.remove(record, reason);
  }

  /** Forgets evidence that is too old. */
  prune(): void {
    const nowMs = this.clock.now();
    for (const [key, {firstMs}] of this.cases) {
      if (nowMs - firstMs > END_LIFETIME_MS) this.cases.delete(key);
    }
    for (const record of this.records.all()) {
      const newestMs = Math.max(record.lastEndMs, record.quarantinedUntilMs);
      if (nowMs - newestMs > SUSPICION_LIFETIME_MS)
        this.remove(record, 'expired');
    }
  }

  /** Accuses the parts that the known runs of an ended process point to. */
  private judge(endCase: EndCase): void {
    const {accused, target} = endCase;
    if (endCase.isExplained) return;
    const candidates = endCase.candidates(this.clock.now());
    endCase.isExplained = candidates.some(run => this.explains(target, run));
    const suspects = endCase.isExplained ? [] : candidates;
    const parts = new Set(suspects.flatMap(run => run.parts));
    for (const [part, accusation] of accused) {
      if (!parts.has(part)) this.withdraw(endCase, part, accusation);
    }
    const isSole = new Set(suspects.map(requestOf)).size === 1;
    for (const part of parts) {
      const accusation = accused.get(part);
      if (accusation === undefined) {
        const runs = suspects.filter(run => run.parts.includes(part));
        this.accuse(endCase, part, runs, isSole);
      } else if (accusation.isSole !== isSole) this.setSole(part, accusation);
    }
  }

  /** Checks whether a run caused the end, and quarantines the part if so. */
  private explains(target: string, run: RunAtEnd): boolean {
    if (run.parts.some(part => this.isQuarantined(part))) return true;
    let worst: PartRecord | undefined;
    // Of equally suspect parts the last is the one that fewest requests share.
    for (const record of this.suspectsOf(run.tried)) {
      if (record.ends >= (worst?.ends ?? 0)) worst = record;
    }
    if (worst === undefined) return false;
    worst.lastEndMs = this.clock.now();
    worst.lastCountedMs = worst.lastEndMs;
    worst.ends += 1;
    worst.recordTarget(target);
    this.quarantine(worst, STANDING.suspect);
    return true;
  }

  /** Counts an end against a part, under runs of requests with it. */
  private accuse(
    {accused, target}: EndCase,
    part: string,
    runs: readonly RunAtEnd[],
    isSole: boolean,
  ): void {
    const known = this.records.get(part);
    if (known?.hasAllWitnesses(runs.map(requestOf))) return;
    const record = known ?? this.records.obtain(part);
    const before = this.standingOf(part);
    const nowMs = this.clock.now();
    const previousEndMs = record.lastEndMs;
    const isApart = nowMs - record.lastCountedMs >= ENDS_APART_MS;
    const wasCounted = isApart || record.hasRepeated(runs);
    const previousCountedMs = record.lastCountedMs;
    if (wasCounted) {
      record.ends += 1;
      record.lastCountedMs = nowMs;
    }
    if (isSole) record.soleEnds += 1;
    record.lastEndMs = nowMs;
    record.recordTarget(target);
    const requests = record.recordWitnesses(runs);
    const previous = {previousEndMs, previousCountedMs};
    const accusation = {wasCounted, isSole, requests, ...previous};
    accused.set(part, {...accusation, atMs: nowMs});
    if (record.ends >= QUARANTINE_ENDS) this.quarantine(record, before);
    else this.reportChange(record, before);
  }

  /** Corrects whether an end points to one request, as more is known. */
  private setSole(part: string, accusation: Accusation): void {
    accusation.isSole = !accusation.isSole;
    const record = this.records.get(part);
    if (record?.lastEndMs !== accusation.atMs) return;
    const before = this.standingOf(part);
    record.soleEnds += accusation.isSole ? 1 : -1;
    this.reportChange(record, before);
  }

  private withdraw(
    {accused}: EndCase,
    part: string,
    accusation: Accusation,
  ): void {
    const {atMs, isSole, previousEndMs, requests, wasCounted} = accusation;
    accused.delete(part);
    const record = this.records.get(part);
    // The part was answered in between, or accused again.
    if (record?.lastEndMs !== atMs) return;
    const before = this.standingOf(part);
    record.lastEndMs = previousEndMs;
    record.lastCountedMs = accusation.previousCountedMs;
    if (wasCounted) record.ends -= 1;
    if (isSole) record.soleEnds -= 1;
    record.forgetWitnesses(requests);
    if (record.ends === 0 && record.quarantineCount === 0)
      this.remove(record, 'another part explains the end');
    else this.reportChange(record, before);
  }

  private quarantine(
    record: PartRecord,
    before: Standing,
    forMs = quarantineMs(record),
  ): void {
    if (before === STANDING.quarantined) return;
    record.quarantineCount += 1;
    record.quarantinedUntilMs = this.clock.now() + forMs;
    record.trial = undefined;
    this.reportChange(record, before);
    // A request that crashes targets explains the other ends that it was at.
    if (record.isRequest)
      for (const endCase of this.cases.values()) this.judge(endCase);
  }

  private applyState(state: PartState): void {
    if (state.ends === 0 && state.quarantineLeftMs === 0) {
      this.clear(state.part, 'cleared by the deciding host');
      return;
    }
    const before = this.standingOf(state.part);
    const record = this.records.obtain(state.part);
    record.applyState(state, this.clock.now());
    this.reportChange(record, before);
  }

  private isQuarantined(part: string): boolean {
    return this.standingOf(part) === STANDING.quarantined;
  }

  private suspectsOf(parts: readonly string[]): PartRecord[] {
    const nowMs = this.clock.now();
    const suspects: PartRecord[] = [];
    for (const part of parts) {
      const record = this.records.get(part);
      if (record?.standingAt(nowMs) === STANDING.suspect) suspects.push(record);
    }
    return suspects;
  }

  private remove(record: PartRecord, reason: string): void {
    const before = this.standingOf(record.part);
    this.records.delete(record.part);
    const {part, ends} = record;
    if (before === STANDING.suspect || before === STANDING.quarantined)
      this.logger.info('part_released', {part, was: before, ends, reason});
    for (const listener of this.changeListeners) listener(part);
  }

  private reportChange(record: PartRecord, before: Standing): void {
    const {part, ends, targets} = record;
    const standing = this.standingOf(part);
    const isRestricted =
      standing === STANDING.suspect || standing === STANDING.quarantined;
    if (standing !== before && isRestricted) {
      this.logger.info('part_standing', {
        part,
        standing,
        was: before,
        ends,
        targets: targets.join(','),
        for_ms: Math.round(this.quarantineLeftMs(part)) || undefined,
      });
    }
    for (const listener of this.changeListeners) listener(part);
    const isNew = standing === STANDING.quarantined && before !== standing;
    if (!isNew) return;
    for (const listener of this.quarantineListeners) listener(part);
  }
}

function quarantineMs({isRequest, quarantineCount}: PartRecord): number {
  if (isRequest && quarantineCount > 0) return FURTHER_REQUEST_QUARANTINE_MS;
  const doubled = FIRST_QUARANTINE_MS * 2 ** quarantineCount;
  return Math.min(MAX_QUARANTINE_MS, doubled);
}
