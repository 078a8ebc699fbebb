/** Decides which host may give orders to targets. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {SuspensionWatch} from '../time/suspension_watch.js';
import {withTimeLimit} from '../time/time_limit.js';
import {LEASE_EVENT, LeaseLog, LeaseRecord} from './lease_log.js';

/** How long a record of the lease holds: a few renewals may be lost. */
export const LEASE_TTL_MS = 1_600;

/** Time between renewals. */
const RENEW_INTERVAL_MS = 500;

/** Longest wait for an answer of the log. */
const CALL_LIMIT_MS = 1_000;

/** Time between reads of the log by a host that does not hear the holder. */
const FOLLOW_INTERVAL_MS = 400;

/** Most by which a claim is put off, so that hosts do not claim at once. */
const CLAIM_SPREAD_MS = 150;

/** Delay of a claim for each millisecond of the host's age, and its limit. */
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
  /** Name of this host, and of this start of it. */
  host: string;
  incarnation: string;
  /** Time that must lie between the orders of two holders, in milliseconds. */
  holderGapMs: number;
  /** Hosts that this host hears as the holder, itself included. */
  hostCount: () => number;
  /** Puts claims off, so that others come first, in milliseconds. */
  claimDelayMs: number;
}

/**
 * One host at a time may order, by records on a log that each name the end
 * they extend.
 *
 * The holder counts its lease from before it sent the record; every other host
 * counts it from when it first saw the record, which is later. A record of
 * unknown outcome extends nothing for its writer and still binds the others.
 */
export class OrderLease {
  private end = 0;
  private seenMs = -Infinity;
  private newest: LeaseRecord | undefined;
  private fencing = 0;
  private heldUntilMs = -Infinity;
  private heldSinceMs = -Infinity;
  private ordersFromMs = -Infinity;
  private holderHeardMs = -Infinity;
  private isKnown = false;
  private isStopping = false;
  private isSilent = false;
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
   * Follows the log, and claims and renews the lease.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && !this.isStopping) {
      await this.step(signal);
      const held = this.isHeld;
      await clock.sleep(held ? RENEW_INTERVAL_MS : FOLLOW_INTERVAL_MS, signal);
    }
  }

  /** Gives the lease up for good, so that another host can claim it sooner. */
  async release(signal: AbortSignal): Promise<void> {
    this.isStopping = true;
    const wasHeld = this.isHeld;
    this.heldUntilMs = -Infinity;
    this.changed();
    if (wasHeld) await this.append(LEASE_EVENT.release, signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    if (this.isHeld) {
      await this.append(LEASE_EVENT.renew, signal);
      return;
    }
    if (this.heardHolder()) return;
    this.noteSilence();
    await this.readTail(signal);
    const {clock, random} = this.parts;
    if (!this.isKnown || clock.now() < this.lapsedMs) return;
    const spreadMs = random.int(0, CLAIM_SPREAD_MS);
    const delayMs = spreadMs + this.ageDelayMs + this.parts.claimDelayMs;
    await clock.sleep(delayMs, signal);
    if (!this.isStopping) await this.append(LEASE_EVENT.claim, signal);
  }

  /** Young hosts claim first: in a rolling restart they are done with it. */
  private get ageDelayMs(): number {
    const ageMs = this.parts.clock.now() - this.startedMs;
    return Math.min(MAX_AGE_DELAY_MS, ageMs * AGE_DELAY_PART);
  }

  /** Logs once that the holder has gone silent. */
  private noteSilence(): void {
    const {logger} = this.parts;
    if (this.isSilent || this.newest === undefined) return;
    this.isSilent = true;
    const {host, incarnation} = this.newest;
    logger.info('order_lease_holder_silent', {holder: host, incarnation});
  }

  private heardHolder(): boolean {
    const silentMs = this.parts.clock.now() - this.holderHeardMs;
    return silentMs < HOLDER_HEARD_MS;
  }

  /** Clock time by which every earlier lease has certainly lapsed. */
  private get lapsedMs(): number {
    if (this.newest === undefined) {
      // Records that the log has lost may have been a holder's.
      return this.end === 0 ? -Infinity : this.seenMs + LEASE_TTL_MS;
    }
    const isRelease = this.newest.event === LEASE_EVENT.release;
    return this.seenMs + (isRelease ? 0 : this.newest.ttlMs);
  }

  /** Clock time from which orders do not follow another holder's too soon. */
  private nextOrdersMs(): number {
    const {holderGapMs, incarnation} = this.parts;
    if (this.newest?.incarnation === incarnation) return this.ordersFromMs;
    return this.lapsedMs + holderGapMs;
  }

  private async readTail(signal: AbortSignal): Promise<void> {
    const tail = await withTimeLimit(CALL_LIMIT_MS, signal, limited =>
      this.parts.log.read(this.end, limited),
    );
    if (tail.isErr()) return;
    this.isKnown = true;
    const {newest, end} = tail.value;
    if (newest === undefined) {
      if (end > this.end) this.seenMs = this.parts.clock.now();
      this.end = Math.max(this.end, end);
      return;
    }
    this.see(newest, end);
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

  private async append(
    event: LeaseRecord['event'],
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, host, incarnation, log, logger} = this.parts;
    const claimOffset = event === LEASE_EVENT.claim ? undefined : this.fencing;
    const record = {
      event,
      host,
      incarnation,
      ttlMs: LEASE_TTL_MS,
      hosts: this.parts.hostCount(),
      claimOffset,
    };
    const sentMs = clock.now();
    const ordersFromMs = this.nextOrdersMs();
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
      return;
    }
    this.see(record, offset.value + 1);
    if (event === LEASE_EVENT.release) return;
    if (this.watch.suspendedSince(sentMs)) return;
    if (event === LEASE_EVENT.claim) this.ordersFromMs = ordersFromMs;
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
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
