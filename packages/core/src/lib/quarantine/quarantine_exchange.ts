/** Exchanges evidence and decisions about prompt parts between hosts. @packageDocumentation */

import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';
import {AnsweredParts} from './answered_parts.js';
import {PartLedger} from './part_ledger.js';
import {PartState, STANDING} from './part_record.js';
import {
  END_TRIAL,
  EXCHANGE_STATES,
  PUBLISH_STATES,
  REPORT_ANSWER,
  REPORT_END,
  START_TRIAL,
} from './quarantine_messages.js';
import {TargetEnd} from './target_end.js';
import {GrantedTrial, Trial} from './trial.js';

/** Time in which changes are collected before they are published. */
const PUBLISH_DELAY_MS = 10;

/** Interval of the complete lists, and their interval for each listed part. */
const FULL_INTERVAL_MS = 2_000;
const FULL_MS_PER_PART = 20;

/** Interval of checks for a new deciding host. */
const CHECK_INTERVAL_MS = 250;

const CALL_TIMEOUT_MS = 300;

/**
 * Delay of a report of an earlier answer, for each host: hosts that find the
 * part proven sound by then send no report.
 */
const ANSWER_DELAY_MS_PER_HOST = 0.5;

/** Time after an end in which a host without a deciding host starts no trial. */
const LONE_TRIAL_DELAY_MS = 2_000;

/** The host that decides for all. */
export interface DecidingHost {
  host: string;
  incarnation: string;
}

/** Dependencies of a {@link QuarantineExchange}. */
export interface QuarantineExchangeParts {
  clock: Clock;
  random: Random;
  network: PeerNetwork;
  ledger: PartLedger;
  answered: AnsweredParts;
  /** The deciding host, while it is heard; it may be this host. */
  decidingHost: () => DecidingHost | undefined;
  hostCount: () => number;
  /** Whether this host knows what was quarantined before it started. */
  isInformed: () => boolean;
}

/**
 * Lets one host decide how prompt parts are treated: it receives the evidence
 * of all hosts and publishes its decisions. Each host keeps a copy, so that any
 * host can take over. A host that hears no deciding host decides for itself and
 * hands its evidence over later.
 */
export class QuarantineExchange {
  private readonly changedParts = new Set<string>();
  private readonly pause: WakeableSleep;
  private isFlushScheduled = false;
  private fullSentMs = -Infinity;
  /**
   * Incarnation of the deciding host that has all evidence of this host; empty
   * if none has.
   */
  private exchangedWith = '';
  private hasEverExchanged = false;

  /** @param parts - see {@link QuarantineExchangeParts}. */
  constructor(private readonly parts: QuarantineExchangeParts) {
    this.pause = new WakeableSleep(parts.clock);
    parts.ledger.onChange(part => this.scheduleFlush(part));
    this.registerHandlers();
  }

  /** Whether this host has learned what another host knows as the deciding one. */
  get hasExchanged(): boolean {
    return this.hasEverExchanged;
  }

  /**
   * Looks for a new deciding host and, as the deciding host, publishes complete
   * lists, until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.parts.ledger.prune();
      await this.exchangeStates(signal);
      this.publishAll();
      await this.pause.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /**
   * Reports the end of a target's process.
   *
   * @param end - the runs of this host that ended with it.
   */
  reportEnd(end: TargetEnd): void {
    const {ledger, network} = this.parts;
    const receiver = this.otherDecidingHost();
    if (receiver !== undefined && network.notify(receiver, REPORT_END, end))
      return;
    if (!this.isDeciding) this.exchangedWith = '';
    ledger.recordEnd(end);
  }

  /**
   * Records that a target answered a request.
   *
   * @param parts - digests of the parts of its prompt.
   * @param begunMs - clock time at which the target began to answer.
   */
  recordAnswer(parts: readonly string[], begunMs: number): void {
    const {answered, clock, ledger} = this.parts;
    answered.record(parts, begunMs);
    if (ledger.size === 0) return;
    for (const part of parts) {
      if (ledger.standingOf(part) === STANDING.clear) continue;
      const begunAgoMs = clock.now() - begunMs;
      ledger.recordAnswer(part, begunAgoMs, true);
      this.reportAnswer(part, begunAgoMs);
    }
  }

  /**
   * Asks for the trial of the suspect parts of a request.
   *
   * @param trial - the request.
   * @param signal - cancels the call.
   * @returns the trial, or undefined if the request may not be sent now.
   */
  async startTrial(
    trial: Trial,
    signal: AbortSignal,
  ): Promise<GrantedTrial | undefined> {
    const tried = await this.requestTrial(trial, signal);
    return tried && {...trial, tried};
  }

  /**
   * Ends a trial, whatever its result.
   *
   * @param trial - the request.
   */
  endTrial(trial: Trial): void {
    const {ledger, network} = this.parts;
    const receiver = this.otherDecidingHost();
    if (receiver !== undefined) network.notify(receiver, END_TRIAL, trial);
    ledger.endTrial(trial);
  }

  private async requestTrial(
    trial: Trial,
    signal: AbortSignal,
  ): Promise<string[] | undefined> {
    const {ledger, network} = this.parts;
    const receiver = this.otherDecidingHost();
    if (receiver !== undefined) {
      const options = {timeoutMs: CALL_TIMEOUT_MS, signal};
      const reply = await network.call(receiver, START_TRIAL, trial, options);
      return reply.isOk() ? reply.value.tried : undefined;
    }
    const isAlone = this.parts.decidingHost() === undefined;
    if (isAlone && this.hasRecentEnd(trial.parts)) return undefined;
    return ledger.tryStartTrial(trial);
  }

  private hasRecentEnd(parts: readonly string[]): boolean {
    const {ledger} = this.parts;
    return parts.some(
      part =>
        ledger.standingOf(part) === STANDING.suspect &&
        ledger.lastEndAgoMs(part) < LONE_TRIAL_DELAY_MS,
    );
  }

  private get isDeciding(): boolean {
    const {decidingHost, network} = this.parts;
    return decidingHost()?.incarnation === network.self.incarnation;
  }

  /** Name of the deciding host, if it is another one and is heard. */
  private otherDecidingHost(): string | undefined {
    return this.isDeciding ? undefined : this.parts.decidingHost()?.host;
  }

  private registerHandlers(): void {
    const {ledger, network} = this.parts;
    network.onNotification(REPORT_END, end => ledger.recordEnd(end));
    network.onNotification(REPORT_ANSWER, ({part, begunAgoMs}) =>
      ledger.recordAnswer(part, begunAgoMs, false),
    );
    network.onNotification(END_TRIAL, trial => ledger.endTrial(trial));
    network.serveUnary(START_TRIAL, trial => {
      // A rejected call makes the host ask again once it knows the new one.
      if (!this.isDeciding) throw new Error('not the deciding host');
      return {tried: ledger.tryStartTrial(trial)};
    });
    network.serveUnary(EXCHANGE_STATES, ({states}) => {
      const {isInformed} = this.parts;
      if (!this.isDeciding || !isInformed())
        throw new Error('not the deciding host, or not informed yet');
      ledger.mergeEvidence(states);
      return {states: ledger.states()};
    });
    network.onNotification(PUBLISH_STATES, ({states, isComplete}, from) => {
      if (this.isDeciding || from.incarnation !== this.exchangedWith) return;
      ledger.applyDecisions(states, isComplete);
      this.reportEarlierAnswers(states);
    });
  }

  /** Exchanges states with a new deciding host. */
  private async exchangeStates(signal: AbortSignal): Promise<void> {
    const {ledger, network} = this.parts;
    const deciding = this.parts.decidingHost();
    if (deciding === undefined) this.exchangedWith = '';
    if (deciding === undefined || deciding.incarnation === this.exchangedWith)
      return;
    // It may also be an earlier process of this host.
    if (deciding.host === network.self.host) {
      this.exchangedWith = deciding.incarnation;
      return;
    }
    const own = {states: ledger.states()};
    const options = {timeoutMs: CALL_TIMEOUT_MS, signal};
    const reply = await network.call(
      deciding.host,
      EXCHANGE_STATES,
      own,
      options,
    );
    if (reply.isErr()) return;
    this.exchangedWith = deciding.incarnation;
    this.hasEverExchanged = true;
    ledger.applyDecisions(reply.value.states, true);
    this.reportEarlierAnswers(reply.value.states);
  }

  private scheduleFlush(part: string): void {
    if (!this.isDeciding) return;
    this.changedParts.add(part);
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.parts.clock.after(PUBLISH_DELAY_MS, () => this.flush());
  }

  /** Publishes the parts that have changed. */
  private flush(): void {
    const {answered, ledger, network} = this.parts;
    this.isFlushScheduled = false;
    const changed = [...this.changedParts];
    for (const part of changed) {
      const agoMs = answered.agoMs(part);
      if (agoMs !== undefined) ledger.recordAnswer(part, agoMs, true);
    }
    this.changedParts.clear();
    if (!this.isDeciding) return;
    const published = changed.filter(part => ledger.concernsHosts(part));
    if (published.length === 0) return;
    const states = published.map(part => ledger.stateOf(part));
    network.broadcast(PUBLISH_STATES, {states, isComplete: false});
  }

  /** Repeats the states of all parts, which repairs lost notifications. */
  private publishAll(): void {
    const {clock, ledger, network} = this.parts;
    if (!this.isDeciding || ledger.size === 0) return;
    const nowMs = clock.now();
    const intervalMs = FULL_INTERVAL_MS + ledger.size * FULL_MS_PER_PART;
    if (nowMs - this.fullSentMs < intervalMs) return;
    this.fullSentMs = nowMs;
    const states = ledger
      .states()
      .filter(({part}) => ledger.concernsHosts(part));
    network.broadcast(PUBLISH_STATES, {states, isComplete: true});
  }

  /** Reports answers that this host remembers for parts in doubt. */
  private reportEarlierAnswers(states: readonly PartState[]): void {
    const {answered, clock, hostCount, ledger, random} = this.parts;
    for (const state of states) {
      if (!isAnswerNews(state, answered.agoMs(state.part))) continue;
      const delayMs = random.float() * hostCount() * ANSWER_DELAY_MS_PER_HOST;
      clock.after(delayMs, () => {
        const agoMs = answered.agoMs(state.part);
        const current = ledger.stateOf(state.part);
        if (agoMs !== undefined && isAnswerNews(current, agoMs))
          this.reportAnswer(state.part, agoMs);
      });
    }
  }

  private reportAnswer(part: string, begunAgoMs: number): void {
    const receiver = this.otherDecidingHost();
    if (receiver === undefined) return;
    this.parts.network.notify(receiver, REPORT_ANSWER, {part, begunAgoMs});
  }
}

/** Returns whether an answer proves a part sound, or gives it a sound record. */
function isAnswerNews(
  {answeredAgoMs = Infinity, endAgoMs, ends}: PartState,
  agoMs: number | undefined,
): boolean {
  if (agoMs === undefined || ends === 0) return false;
  const isAfterEnd = agoMs < endAgoMs;
  return isAfterEnd || (answeredAgoMs === Infinity && agoMs < answeredAgoMs);
}
