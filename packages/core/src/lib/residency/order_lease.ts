/** Decides which host may give orders to targets. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {SuspensionWatch} from '../time/suspension_watch.js';
import {withTimeLimit} from '../time/time_limit.js';
import {LEASE_EVENT, LeaseLog, LeaseRecord} from './lease_log.js';

/** How long a record of the lease holds: a few renewals may be lost. */
export const LEASE_TTL_MS = 1_600;

/** Time between renewals, and after one that failed. */
const RENEW_INTERVAL_MS = 500;
const RENEW_AGAIN_MS = 150;

/**
 * Time left of a lease that cannot be renewed at which the holder gives it up:
 * two more tries have failed by then, and its peers need not wait for the end.
 */
const RESIGN_LEFT_MS = 800;

/** Claims that a host makes at once if others' late records are in its way. */
const MAX_CLAIMS_AT_ONCE = 3;

/** Longest wait for an answer of the log. */
const CALL_LIMIT_MS = 1_000;

/** Time between reads of the log by a host that does not hear the holder. */
const FOLLOW_INTERVAL_MS = 400;

/** Longest read that waits for a record: the log answers as one comes. */
const MAX_FOLLOW_MS = 1_500;

/** What each host adds to the pause after a read that failed. */
const UNREAD_MS_PER_HOST = 5;

/** Age up to which what was read of the log need not be read again. */
const TAIL_LIFE_MS = 150;

/** Most by which a claim is put off, so that hosts do not claim at once. */
const CLAIM_SPREAD_MS = 150;

/** What a host's age adds to its rank as a successor, and its limit. */
const AGE_DELAY_PART = 0.015;
const MAX_AGE_DELAY_MS = 400;

/** How long a holder that its peers hear is believed without the log. */
const HOLDER_HEARD_MS = 750;

/** Who holds the lease, as this host knows. */
export interface LeaseHolder {
  host: string;
  incarnation: string;
  /** Offset of the claim; rises with every holder. */
  fencing: number;
}

/** What an {@link OrderLease} works with. */
export interface OrderLeaseParts {
  clock: Clock;
  random: Random;
  log: LeaseLog;
  logger: Logger;
  /** Name under which peers reach this host. */
  host: string;
  /** Name of the machine, under which it gives orders. */
  owner: string;
  /** Differs for every start of this host. */
  incarnation: string;
  /** Time that must lie between the orders of two holders, in milliseconds. */
  holderGapMs: number;
  /** Hosts that this host hears as the holder, itself included. */
  hostCount: () => number;
  /** Puts claims off, so that others come first, in milliseconds. */
  claimDelayMs: number;
  /** Tells the peers that this host gave the lease up before its end. */
  onResign: () => void;
}

/**
 * One host at a time may order, by records on a log that each name the end
 * they extend.
 *
 * The holder counts its lease from before it sent the record; every other host
 * counts it from when it first saw the record, which is later. A record of
 * unknown outcome extends nothing for its writer and still binds the others.
 *
 * Two ways are shorter. A holder that cannot renew tells its peers that it has
 * given up, and names one that claims at once. A machine that finds its own
 * earlier process as the holder claims at once too: that process has ended, and
 * both are one holder for the targets.
 */
export class OrderLease {
  private end = 0;
  private seenMs = -Infinity;
  private newest: LeaseRecord | undefined;
  private fencing = 0;
  private heldUntilMs = -Infinity;
  private heldSinceMs = -Infinity;
  private ordersFromMs = -Infinity;
  /** Fencing number of the claim that {@link ordersFromMs} belongs to. */
  private claimedFencing: number | undefined;
  private holderHeardMs = -Infinity;
  private isKnown = false;
  /** Clock time of the last answer of the log. */
  private tailReadMs = -Infinity;
  private isStopping = false;
  private isSilent = false;
  private isReadable = true;
  private resigned = {fencing: -1, ms: -Infinity, isSuccessor: false};
  private wake = new AbortController();
  private readonly watch: SuspensionWatch;
  private readonly startedMs: number;
  private readonly listeners: Array<() => void> = [];

  /** @param parts - see {@link OrderLeaseParts}. */
  constructor(private readonly parts: OrderLeaseParts) {
    this.watch = new SuspensionWatch(parts.clock);
    this.startedMs = parts.clock.now();
  }

  /** Whether this host may order now; ask right before each order. */
  get mayOrder(): boolean {
    return this.isHeld && this.parts.clock.now() >= this.ordersFromMs;
  }

  /** Whether this host holds the lease; it may still have to wait to order. */
  get isHeld(): boolean {
    if (this.parts.clock.now() >= this.heldUntilMs) return false;
    return !this.watch.suspendedSince(this.heldSinceMs);
  }

  /** Fencing number of this host's orders. */
  get fencingNumber(): number {
    return this.fencing;
  }

  /** The holder that this host knows, itself included. */
  get holder(): LeaseHolder | undefined {
    if (this.newest === undefined) return undefined;
    if (this.newest.event === LEASE_EVENT.release) return undefined;
    if (this.isResigned) return undefined;
    const {host, incarnation} = this.newest;
    return {host, incarnation, fencing: this.fencing};
  }

  /** @param listener - called when the holder may have changed. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Hosts that the newest holder heard; undefined if none is known. */
  get recordedHosts(): number | undefined {
    return this.newest?.hosts;
  }

  /** Offset after the newest record that this host knows. */
  get knownEnd(): number {
    return this.end;
  }

  /**
   * Notes that the holder was heard of by other means than the log.
   *
   * @param incarnation - who was heard.
   * @param end - offset after its newest record, which it had by then.
   */
  noteHolderHeard(incarnation: string, end: number): void {
    if (this.newest?.incarnation !== incarnation) return;
    const nowMs = this.parts.clock.now();
    this.holderHeardMs = nowMs;
    this.isSilent = false;
    if (end <= this.end) return;
    // What was appended by now binds this host from now on.
    this.end = end;
    this.seenMs = nowMs;
  }

  /**
   * Notes that the holder said that it gave the lease up.
   *
   * @param fencing - fencing number of the lease.
   * @param isSuccessor - whether this host was named to claim it.
   */
  noteResigned(fencing: number, isSuccessor: boolean): void {
    if (this.newest === undefined || fencing !== this.fencing) return;
    if (this.isResigned) return;
    this.resign(isSuccessor);
    this.wake.abort();
  }

  /** How late this host comes as a successor, in milliseconds. */
  get successorRankMs(): number {
    const ageMs = this.parts.clock.now() - this.startedMs;
    // Young hosts first: in a rolling restart they are done with it.
    const ageDelayMs = Math.min(MAX_AGE_DELAY_MS, ageMs * AGE_DELAY_PART);
    return this.parts.claimDelayMs + ageDelayMs;
  }

  /**
   * Follows the log, and claims and renews the lease.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wake.abort());
    while (!signal.aborted && !this.isStopping) {
      if (this.wake.signal.aborted) this.wake = new AbortController();
      if (this.isHeld) await this.renew(signal);
      else if (!this.hearsHolder) await this.claimIfLapsed(signal);
      await this.pause(signal);
    }
  }

  /** Gives the lease up for good, so that another host can claim it sooner. */
  async release(signal: AbortSignal): Promise<void> {
    this.isStopping = true;
    const wasHeld = this.isHeld;
    if (wasHeld) this.giveUp();
    this.heldUntilMs = -Infinity;
    this.changed();
    if (wasHeld) await this.append(LEASE_EVENT.release, signal);
  }

  private async pause(signal: AbortSignal): Promise<void> {
    if (signal.aborted || this.wake.signal.aborted) return;
    const {clock} = this.parts;
    if (this.isHeld) {
      const isLate = this.heldUntilMs - clock.now() < LEASE_TTL_MS / 2;
      const pauseMs = isLate ? RENEW_AGAIN_MS : RENEW_INTERVAL_MS;
      await clock.sleep(pauseMs, this.wake.signal);
    } else if (this.hearsHolder) {
      await clock.sleep(FOLLOW_INTERVAL_MS, this.wake.signal);
    } else if (this.isReadable) {
      // One read that waits for the whole time, in place of several.
      const untilClaimMs = this.claimableMs - clock.now();
      const waitMs = Math.min(MAX_FOLLOW_MS, untilClaimMs);
      await this.follow(Math.max(FOLLOW_INTERVAL_MS, waitMs), signal);
    } else {
      const hostsMs = this.parts.hostCount() * UNREAD_MS_PER_HOST;
      const pauseMs = Math.max(FOLLOW_INTERVAL_MS, hostsMs);
      await clock.sleep(pauseMs, this.wake.signal);
    }
  }

  /** Waits for a time, or until the log has a new record. */
  private async follow(waitMs: number, signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    const untilMs = clock.now() + waitMs;
    const {end} = this;
    // A host that is told to claim does not wait for the log.
    await this.readTail(this.wake.signal, waitMs);
    if (this.end !== end || signal.aborted) return;
    await clock.sleep(Math.max(0, untilMs - clock.now()), this.wake.signal);
  }

  private async renew(signal: AbortSignal): Promise<void> {
    const isRenewed = await this.append(LEASE_EVENT.renew, signal);
    if (isRenewed || !this.isHeld) return;
    const leftMs = this.heldUntilMs - this.parts.clock.now();
    if (leftMs >= RESIGN_LEFT_MS) return;
    this.parts.logger.info('order_lease_resigned', {
      fencing: this.fencing,
      left_ms: Math.round(leftMs),
    });
    this.giveUp();
  }

  /** Ends the lease here before anybody is told so. */
  private giveUp(): void {
    this.heldUntilMs = -Infinity;
    this.resign(false);
    this.parts.onResign();
  }

  private async claimIfLapsed(signal: AbortSignal): Promise<void> {
    this.noteSilence();
    const {clock, random} = this.parts;
    const isTailKnown = clock.now() - this.tailReadMs < TAIL_LIFE_MS;
    if (!isTailKnown) await this.readTail(signal);
    if (!this.isKnown || clock.now() < this.claimableMs) return;
    if (this.comesFirst) {
      await this.claim(MAX_CLAIMS_AT_ONCE, signal);
      return;
    }
    const {end} = this;
    const spreadMs = random.int(0, CLAIM_SPREAD_MS);
    await this.follow(spreadMs + this.parts.claimDelayMs, signal);
    if (this.end !== end || this.wake.signal.aborted) return;
    await this.claim(1, signal);
  }

  private async claim(tries: number, signal: AbortSignal): Promise<void> {
    for (let i = 0; i < tries; i++) {
      const {clock} = this.parts;
      if (this.isStopping || clock.now() < this.claimableMs) return;
      if (await this.append(LEASE_EVENT.claim, signal)) return;
    }
  }

  private get isResigned(): boolean {
    return this.resigned.fencing === this.fencing;
  }

  private resign(isSuccessor: boolean): void {
    const ms = this.parts.clock.now();
    this.resigned = {fencing: this.fencing, ms, isSuccessor};
    this.changed();
  }

  /** Whether the newest record is from an earlier process of this machine. */
  private get followsItself(): boolean {
    const {incarnation, owner} = this.parts;
    const {newest} = this;
    return newest?.owner === owner && newest.incarnation !== incarnation;
  }

  /** Whether this host need not leave the claim to others. */
  private get comesFirst(): boolean {
    if (this.followsItself) return true;
    return this.isResigned && this.resigned.isSuccessor;
  }

  /** Logs once that the holder has gone silent. */
  private noteSilence(): void {
    const {clock, logger} = this.parts;
    if (this.isSilent || this.newest === undefined) return;
    // Nobody can have been heard that the log has just named.
    if (clock.now() - this.seenMs < HOLDER_HEARD_MS) return;
    this.isSilent = true;
    const {host, incarnation} = this.newest;
    logger.info('order_lease_holder_silent', {holder: host, incarnation});
  }

  private get hearsHolder(): boolean {
    if (this.isResigned) return false;
    const silentMs = this.parts.clock.now() - this.holderHeardMs;
    return silentMs < HOLDER_HEARD_MS;
  }

  /** Clock time by which every earlier lease has certainly lapsed. */
  private get lapsedMs(): number {
    if (this.newest === undefined) {
      // Records that the log has lost may have been a holder's.
      return this.end === 0 ? -Infinity : this.seenMs + LEASE_TTL_MS;
    }
    if (this.isResigned) return this.resigned.ms;
    const isRelease = this.newest.event === LEASE_EVENT.release;
    return this.seenMs + (isRelease ? 0 : this.newest.ttlMs);
  }

  /** Clock time from which this host may claim the lease. */
  private get claimableMs(): number {
    return this.followsItself ? this.seenMs : this.lapsedMs;
  }

  /** Clock time from which orders do not follow another holder's too soon. */
  private nextOrdersMs(): number {
    const {holderGapMs, owner} = this.parts;
    if (this.fencing === this.claimedFencing) return this.ordersFromMs;
    if (this.newest?.owner === owner) {
      // An earlier process, or a claim whose answer was lost.
      return this.seenMs + this.newest.ordersInMs;
    }
    return this.lapsedMs + holderGapMs;
  }

  private async readTail(signal: AbortSignal, waitMs = 0): Promise<void> {
    const limitMs = waitMs + CALL_LIMIT_MS;
    const tail = await withTimeLimit(limitMs, signal, limited =>
      this.parts.log.read(this.end, waitMs, limited),
    );
    if (signal.aborted) return;
    this.noteRead(tail.isOk());
    if (tail.isErr()) return;
    this.isKnown = true;
    this.tailReadMs = this.parts.clock.now();
    const {newest, end} = tail.value;
    if (newest === undefined) {
      if (end > this.end) this.seenMs = this.parts.clock.now();
      this.end = Math.max(this.end, end);
      return;
    }
    this.see(newest, end);
  }

  /** Logs once that the log cannot be read, and once that it can again. */
  private noteRead(isRead: boolean): void {
    if (isRead === this.isReadable) return;
    this.isReadable = isRead;
    const event = isRead ? 'order_lease_log_read' : 'order_lease_log_unread';
    this.parts.logger.info(event, {end: this.end});
  }

  private see(record: LeaseRecord, end: number): void {
    this.newest = record;
    this.end = end;
    this.seenMs = this.parts.clock.now();
    this.isSilent = false;
    this.fencing = record.claimOffset ?? end - 1;
    if (record.incarnation !== this.parts.incarnation) {
      this.heldUntilMs = -Infinity;
    }
    this.changed();
  }

  /** @returns whether the record was appended. */
  private async append(
    event: LeaseRecord['event'],
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, host, incarnation, log, logger, owner} = this.parts;
    const claimOffset = event === LEASE_EVENT.claim ? undefined : this.fencing;
    const sentMs = clock.now();
    const ordersFromMs = this.nextOrdersMs();
    const record = {
      event,
      host,
      owner,
      incarnation,
      ttlMs: LEASE_TTL_MS,
      ordersInMs: Math.max(0, ordersFromMs - sentMs),
      hosts: this.parts.hostCount(),
      claimOffset,
    };
    const offset = await withTimeLimit(CALL_LIMIT_MS, signal, limited =>
      log.append(record, this.end, limited),
    );
    if (offset.isErr()) {
      logger.info('order_lease_append_failed', {
        record: event,
        expected_end: this.end,
        reason: offset.error,
      });
      await this.readTail(signal);
      return false;
    }
    this.see(record, offset.value + 1);
    if (event === LEASE_EVENT.release) return true;
    if (this.watch.suspendedSince(sentMs)) return true;
    if (event === LEASE_EVENT.claim) {
      this.ordersFromMs = ordersFromMs;
      this.claimedFencing = this.fencing;
    }
    this.heldSinceMs = sentMs;
    this.heldUntilMs = sentMs + LEASE_TTL_MS;
    if (event === LEASE_EVENT.claim) {
      const ordersInMs = Math.max(0, Math.round(ordersFromMs - clock.now()));
      logger.info('order_lease_claimed', {
        fencing: this.fencing,
        orders_in_ms: ordersInMs,
      });
    }
    this.changed();
    return true;
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
