/** Lease that decides which host may send orders to targets. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {SuspensionDetector} from '../time/suspension_detector.js';
import {withTimeout} from '../time/timeout.js';
import {LEASE_EVENT, LeaseLog, LeaseRecord} from './lease_log.js';
import {LeaseLogState, NO_CLAIM} from './lease_log_state.js';

/** Lifetime of a lease record: a few renewals may be lost. */
export const LEASE_TTL_MS = 1_600;

/** Time between renewals, and the delay after one that failed. */
const RENEW_INTERVAL_MS = 500;
const RENEW_RETRY_MS = 150;

/**
 * Remaining time of a lease below which a holder that cannot renew it resigns:
 * two more attempts have failed by then, and its peers need not wait for the
 * lease to expire.
 */
const RESIGN_THRESHOLD_MS = 800;

/** Claim attempts in a row, as late records of other hosts cause conflicts. */
const MAX_CLAIM_ATTEMPTS = 3;

/** Timeout of a call to the log. */
const LOG_CALL_TIMEOUT_MS = 1_000;

/** Shortest time between reads of the log by a follower. */
const POLL_INTERVAL_MS = 400;

/** Longest long poll: the log answers as soon as it has a new record. */
const MAX_LONG_POLL_MS = 1_500;

/** Delay after a failed read, for each host, which limits the total rate. */
const READ_RETRY_MS_PER_HOST = 5;

/** Age up to which the last read of the log is still current. */
const TAIL_MAX_AGE_MS = 150;

/** Largest random delay of a claim, so that hosts do not claim at once. */
const CLAIM_JITTER_MS = 150;

/** Successor delay for each millisecond of a host's age, and its limit. */
const AGE_DELAY_FACTOR = 0.015;
const MAX_AGE_DELAY_MS = 400;

/** Delay of a claim by a host that reaches no target, so that others come first. */
const UNFIT_CLAIM_DELAY_MS = 1_500;

/**
 * How long after the last message from the holder its peers assume, without a
 * read of the log, that it still holds the lease.
 */
const HOLDER_TIMEOUT_MS = 750;

/** The lease holder, as far as this host knows. */
export interface LeaseHolder {
  host: string;
  incarnation: string;
  /** Increases with every claim, over all eras. */
  fencing: number;
}

/** What a message of the lease holder says of its lease. */
export interface HolderContact {
  /** Incarnation of the sender. */
  incarnation: string;
  /**
   * Fencing number of the sender's lease; unset in messages of hosts of an
   * earlier release.
   */
  fencing: number | undefined;
  /** Offset after the newest record that the sender knew. */
  end: number;
}

/** Dependencies of {@link OrderLease}. */
export interface OrderLeaseParts {
  clock: Clock;
  random: Random;
  log: LeaseLog;
  logger: Logger;
  /** Name under which peers reach this host. */
  host: string;
  /** Name of the machine, which stays the same when its process restarts. */
  owner: string;
  /** Differs for every start of this host. */
  incarnation: string;
  /** Shortest time between the orders of two holders, in milliseconds. */
  holderGapMs: number;
  /** Returns the hosts that report to this host, itself included. */
  hostCount: () => number;
  /** Delay of claims, so that other hosts claim first, in milliseconds. */
  claimDelayMs: number;
  /**
   * Whether all hosts start for the first time, so that an empty log has had no
   * holder. A log that came back from an older copy may be empty as well.
   */
  isFirstStart: boolean;
  /**
   * Whether this host can send orders, or no other host can either; by default it
   * can.
   */
  isFitToHold?: () => boolean;
  /** Notifies the peers that this host resigned before its lease expired. */
  onResign: () => void;
}

/** A holder's message that it resigned, as a host has received it. */
interface Resignation {
  /** Fencing number of the lease that has ended. */
  fencing: number;
  /** Clock time of the message. */
  ms: number;
  /** Whether this host was named as the successor. */
  isSuccessor: boolean;
}

/**
 * Lets one host at a time send orders, by conditional appends to a log.
 *
 * The holder counts its lease from before it sent the record; every other host
 * counts it from when it first saw the record, which is later. A record whose
 * append has an unknown outcome does not extend the lease for its writer, but
 * still binds the other hosts.
 *
 * Two cases do not wait for the lease to expire. A holder that cannot renew
 * notifies its peers that it resigned, and names a successor that claims at
 * once. A machine whose own previous process holds the lease claims at once
 * too: that process has ended, and targets see both as one holder.
 *
 * The log may come back from an older copy. Records of claims and renewals are
 * lost then, so that every host that learns of the new era waits until all that
 * may have been granted before has expired; only the host that still holds the
 * lease claims it anew at once, as nobody else can until then. What was written
 * or answered in an earlier era grants nothing in the new one.
 */
export class OrderLease {
  private heldUntilMs = -Infinity;
  private heldSinceMs = -Infinity;
  /** Fencing number with which this host began to hold the lease. */
  private firstFencing = NO_CLAIM;
  private ordersFromMs = -Infinity;
  /** Fencing number of the claim that {@link ordersFromMs} belongs to. */
  private claimedFencing: number | undefined;
  private holderHeardMs = -Infinity;
  /** Clock time of the last answer of the log. */
  private tailReadMs = -Infinity;
  private isStopping = false;
  private pendingAppend: Promise<unknown> = Promise.resolve();
  private isHolderSilent = false;
  private isLogReadable = true;
  private resignation: Resignation | undefined;
  private wakeController = new AbortController();
  private readonly known: LeaseLogState;
  private readonly suspensionWatch: SuspensionDetector;
  private readonly startedMs: number;
  private readonly listeners: Array<() => void> = [];

  /** @param parts - see {@link OrderLeaseParts}. */
  constructor(private readonly parts: OrderLeaseParts) {
    this.suspensionWatch = new SuspensionDetector(parts.clock);
    this.startedMs = parts.clock.now();
    this.known = new LeaseLogState({
      ...parts,
      leaseTtlMs: LEASE_TTL_MS,
      onRestored: era => this.logRestored(era),
    });
  }

  /** Whether this host may order now; check right before each order. */
  get canOrder(): boolean {
    return this.isHeld && this.parts.clock.now() >= this.ordersFromMs;
  }

  /** Whether this host holds the lease; it may not be allowed to order yet. */
  get isHeld(): boolean {
    if (this.parts.clock.now() >= this.heldUntilMs) return false;
    return !this.suspensionWatch.wasSuspendedSince(this.heldSinceMs);
  }

  /** Fencing number of this host's orders. */
  get fencingNumber(): number {
    return this.known.fencing;
  }

  /**
   * Fencing number with which this host began to hold the lease without a
   * break. It stays when the lease is claimed anew in a new era of the log.
   */
  get firstFencingNumber(): number {
    return this.firstFencing;
  }

  /** The holder that this host knows of, possibly itself. */
  get holder(): LeaseHolder | undefined {
    if (this.known.newest === undefined) return undefined;
    if (this.known.newest.event === LEASE_EVENT.release) return undefined;
    if (this.isResigned) return undefined;
    const {host, incarnation} = this.known.newest;
    return {host, incarnation, fencing: this.known.fencing};
  }

  /**
   * Adds a listener.
   *
   * @param listener - called when the holder may have changed.
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Hosts that reported to the newest holder; undefined without a holder. */
  get recordedHostCount(): number | undefined {
    return this.known.newest?.hosts;
  }

  /** Offset after the newest record that this host knows. */
  get knownEnd(): number {
    return this.known.end.offset;
  }

  /**
   * Records a message from the holder, which shows that it is alive.
   *
   * @param contact - see {@link HolderContact}.
   */
  recordHolderContact({end, fencing, incarnation}: HolderContact): void {
    const {known} = this;
    if (known.newest?.incarnation !== incarnation) return;
    // The holder has claimed anew; this host has to read that claim.
    if (fencing !== undefined && !known.isOfNewestClaim(fencing)) return;
    this.holderHeardMs = this.parts.clock.now();
    this.isHolderSilent = false;
    known.recordRenewedBefore(end);
  }

  /**
   * Handles the holder's message that it resigned.
   *
   * @param fencing - fencing number of the lease.
   * @param isSuccessor - whether this host was named as the successor.
   */
  handleResignation(fencing: number, isSuccessor: boolean): void {
    if (!this.known.isOfNewestClaim(fencing) || this.isResigned) return;
    this.markResigned(isSuccessor);
    this.wakeController.abort();
  }

  /** Rank of this host as a successor, in milliseconds; the lowest is best. */
  get successorRankMs(): number {
    const ageMs = this.parts.clock.now() - this.startedMs;
    // Young hosts first: a rolling restart has already passed them.
    const ageDelayMs = Math.min(MAX_AGE_DELAY_MS, ageMs * AGE_DELAY_FACTOR);
    return this.parts.claimDelayMs + ageDelayMs;
  }

  /**
   * Follows the log, and claims and renews the lease.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.wakeController.abort());
    while (!signal.aborted && !this.isStopping) {
      if (this.wakeController.signal.aborted)
        this.wakeController = new AbortController();
      if (this.isHeld) await this.renew(signal);
      else if (!this.isHolderHeard) await this.claimIfExpired(signal);
      await this.waitForNextStep(signal);
    }
  }

  /** Releases the lease for good, so that another host can claim it sooner. */
  async release(signal: AbortSignal): Promise<void> {
    this.isStopping = true;
    if (this.isHeld) this.relinquish();
    this.heldUntilMs = -Infinity;
    this.notifyListeners();
    // A claim or renewal that is under way may be recorded all the same.
    await this.pendingAppend;
    if (this.wroteNewest) await this.append(LEASE_EVENT.release, signal);
  }

  /** Whether the newest record of this era names this process as the holder. */
  private get wroteNewest(): boolean {
    if (!this.known.isNewestCurrent) return false;
    if (this.known.newest?.incarnation !== this.parts.incarnation) return false;
    return this.known.newest.event !== LEASE_EVENT.release;
  }

  private async waitForNextStep(signal: AbortSignal): Promise<void> {
    if (signal.aborted || this.wakeController.signal.aborted) return;
    const {clock} = this.parts;
    if (this.isHeld) {
      const isLate = this.heldUntilMs - clock.now() < LEASE_TTL_MS / 2;
      const pauseMs = isLate ? RENEW_RETRY_MS : RENEW_INTERVAL_MS;
      await clock.sleep(pauseMs, this.wakeController.signal);
    } else if (this.isHolderHeard) {
      await clock.sleep(POLL_INTERVAL_MS, this.wakeController.signal);
    } else if (this.isLogReadable) {
      // One long poll for the whole time instead of several reads.
      const untilClaimMs = this.claimableMs - clock.now();
      const waitMs = Math.min(MAX_LONG_POLL_MS, untilClaimMs);
      await this.waitForRecord(Math.max(POLL_INTERVAL_MS, waitMs), signal);
    } else {
      const hostsMs = this.parts.hostCount() * READ_RETRY_MS_PER_HOST;
      const pauseMs = Math.max(POLL_INTERVAL_MS, hostsMs);
      await clock.sleep(pauseMs, this.wakeController.signal);
    }
  }

  /** Waits for a time or until the log has a new record. */
  private async waitForRecord(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    const untilMs = clock.now() + waitMs;
    const {end} = this.known;
    // A named successor does not wait for the log.
    await this.readTail(this.wakeController.signal, waitMs);
    if (this.known.end !== end || signal.aborted) return;
    await clock.sleep(
      Math.max(0, untilMs - clock.now()),
      this.wakeController.signal,
    );
  }

  private get isFit(): boolean {
    return this.parts.isFitToHold?.() ?? true;
  }

  /** Renews the lease; claims it anew in a new era, which has no record of it. */
  private async renew(signal: AbortSignal): Promise<void> {
    if (!this.isFit) {
      this.parts.logger.info('order_lease_resigned', {
        fencing: this.known.fencing,
        reason: 'no path to targets',
      });
      this.relinquish();
      return;
    }
    const event = this.wroteNewest ? LEASE_EVENT.renew : LEASE_EVENT.claim;
    const isRenewed = await this.append(event, signal);
    if (isRenewed || !this.isHeld) return;
    const leftMs = this.heldUntilMs - this.parts.clock.now();
    if (leftMs >= RESIGN_THRESHOLD_MS) return;
    this.parts.logger.info('order_lease_resigned', {
      fencing: this.known.fencing,
      left_ms: Math.round(leftMs),
    });
    this.relinquish();
  }

  /** Ends the lease on this host, and only then notifies the peers. */
  private relinquish(): void {
    this.heldUntilMs = -Infinity;
    this.markResigned(false);
    this.parts.onResign();
  }

  private async claimIfExpired(signal: AbortSignal): Promise<void> {
    this.logHolderSilence();
    const {clock, random} = this.parts;
    const isTailKnown = clock.now() - this.tailReadMs < TAIL_MAX_AGE_MS;
    if (!isTailKnown) await this.readTail(signal);
    if (!this.known.hasRead || clock.now() < this.claimableMs) return;
    if (this.hasClaimPriority && this.isFit) {
      await this.claim(MAX_CLAIM_ATTEMPTS, signal);
      return;
    }
    const {end} = this.known;
    const spreadMs = random.int(0, CLAIM_JITTER_MS);
    const unfitMs = this.isFit ? 0 : UNFIT_CLAIM_DELAY_MS;
    const delayMs = spreadMs + this.parts.claimDelayMs + unfitMs;
    await this.waitForRecord(delayMs, signal);
    if (this.known.end !== end || this.wakeController.signal.aborted) return;
    await this.claim(1, signal);
  }

  private async claim(attempts: number, signal: AbortSignal): Promise<void> {
    for (let i = 0; i < attempts; i++) {
      const {clock} = this.parts;
      if (this.isStopping || clock.now() < this.claimableMs) return;
      if (await this.append(LEASE_EVENT.claim, signal)) return;
    }
  }

  private get isResigned(): boolean {
    return this.resignation?.fencing === this.known.fencing;
  }

  private markResigned(isSuccessor: boolean): void {
    const ms = this.parts.clock.now();
    this.resignation = {fencing: this.known.fencing, ms, isSuccessor};
    this.notifyListeners();
  }

  /** Whether a previous process of this machine wrote the newest record. */
  private get isPredecessorLocal(): boolean {
    const {incarnation, owner} = this.parts;
    const {newest} = this.known;
    if (!this.known.isNewestOfThisEra) return false;
    return newest?.owner === owner && newest.incarnation !== incarnation;
  }

  /** Whether this host claims without a delay. */
  private get hasClaimPriority(): boolean {
    if (this.isPredecessorLocal) return true;
    return (
      this.known.isNewestCurrent &&
      this.isResigned &&
      this.resignation?.isSuccessor === true
    );
  }

  /** Logs once that no message of the holder arrives any more. */
  private logHolderSilence(): void {
    const {clock, logger} = this.parts;
    if (this.isHolderSilent || this.known.newest === undefined) return;
    // A holder that the log has just named has not had time to send a message.
    if (clock.now() - this.known.seenMs < HOLDER_TIMEOUT_MS) return;
    this.isHolderSilent = true;
    const {host, incarnation} = this.known.newest;
    logger.info('order_lease_holder_silent', {holder: host, incarnation});
  }

  private get isHolderHeard(): boolean {
    if (this.isResigned) return false;
    const silentMs = this.parts.clock.now() - this.holderHeardMs;
    return silentMs < HOLDER_TIMEOUT_MS;
  }

  /** Clock time by which every earlier lease has certainly expired. */
  private get expiryMs(): number {
    return Math.max(this.recordedUntilMs, this.known.unrecordedUntilMs);
  }

  /** Clock time by which the newest recorded lease has certainly expired. */
  private get recordedUntilMs(): number {
    if (this.known.newest === undefined || !this.known.isNewestCurrent)
      return -Infinity;
    if (this.isResigned) return this.resignation!.ms;
    const isRelease = this.known.newest.event === LEASE_EVENT.release;
    const endsAtOnce = isRelease && this.known.isNewestOfThisEra;
    return this.known.seenMs + (endsAtOnce ? 0 : this.known.newest.ttlMs);
  }

  /** Clock time from which this host may claim the lease. */
  private get claimableMs(): number {
    if (!this.isPredecessorLocal) return this.expiryMs;
    return Math.max(this.known.seenMs, this.known.unrecordedUntilMs);
  }

  /** Clock time from which orders keep the gap to another holder's orders. */
  private nextOrdersMs(): number {
    const {holderGapMs, owner} = this.parts;
    // Nobody else has ordered since this host was allowed to.
    if (this.isHeld) return this.ordersFromMs;
    if (!this.known.isNewestCurrent) return this.expiryMs + holderGapMs;
    if (this.known.fencing === this.claimedFencing) return this.ordersFromMs;
    if (this.known.newest?.owner === owner && this.known.isNewestOfThisEra) {
      // Written by a previous process, or a claim whose answer was lost.
      return this.known.seenMs + this.known.newest.ordersInMs;
    }
    return this.expiryMs + holderGapMs;
  }

  private async readTail(signal: AbortSignal, waitMs = 0): Promise<void> {
    const limitMs = waitMs + LOG_CALL_TIMEOUT_MS;
    const tail = await withTimeout(limitMs, signal, limited =>
      this.parts.log.read(this.known.end, waitMs, limited),
    );
    if (signal.aborted) return;
    this.logReadability(tail.isOk());
    if (tail.isErr()) return;
    const {newest} = this.known;
    if (!this.known.adoptTail(tail.value)) return;
    this.tailReadMs = this.parts.clock.now();
    if (this.known.newest !== newest) this.recordNewest();
  }

  /** Handles a change of the newest record. */
  private recordNewest(): void {
    this.isHolderSilent = false;
    if (this.known.newest?.incarnation !== this.parts.incarnation)
      this.heldUntilMs = -Infinity;
    this.notifyListeners();
  }

  private logRestored(era: number): void {
    this.parts.logger.warn('order_lease_log_restored', {
      era,
      before: this.known.end.era,
      known_end: this.known.end.offset,
      held: this.isHeld,
      fencing: this.known.fencing,
    });
  }

  /** Logs each change of whether the log can be read. */
  private logReadability(isRead: boolean): void {
    if (isRead === this.isLogReadable) return;
    this.isLogReadable = isRead;
    const event = isRead ? 'order_lease_log_read' : 'order_lease_log_unread';
    const {era, offset: end} = this.known.end;
    this.parts.logger.info(event, {end, era});
  }

  /** Appends a record and returns whether that succeeded. */
  private append(
    event: LeaseRecord['event'],
    signal: AbortSignal,
  ): Promise<boolean> {
    const appended = this.appendOnce(event, signal);
    this.pendingAppend = appended.catch(() => {});
    return appended;
  }

  private async appendOnce(
    event: LeaseRecord['event'],
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, host, incarnation, log, logger, owner} = this.parts;
    const {era, offset: expectedEnd} = this.known.end;
    const isClaim = event === LEASE_EVENT.claim;
    const claimOffset = isClaim ? undefined : this.known.claimOffset;
    const fencing = isClaim ? this.known.nextFencing : this.known.fencing;
    const sentMs = clock.now();
    const ordersFromMs = this.nextOrdersMs();
    const continuesLease = this.isHeld;
    const record = {
      event,
      host,
      owner,
      incarnation,
      ttlMs: LEASE_TTL_MS,
      ordersInMs: Math.max(0, ordersFromMs - sentMs),
      hosts: this.parts.hostCount(),
      claimOffset,
      fencing,
      era,
    };
    const appended = await withTimeout(LOG_CALL_TIMEOUT_MS, signal, limited =>
      log.append(record, expectedEnd, limited),
    );
    const isCurrent = appended.isOk() && appended.value.era === era;
    if (!isCurrent) {
      logger.info('order_lease_append_failed', {
        record: event,
        expected_end: expectedEnd,
        era,
        reason: appended.isErr() ? appended.error : 'other-era',
      });
      await this.readTail(signal);
      return false;
    }
    const isNewest = this.known.adoptAppended(record, appended.value);
    if (isNewest) this.recordNewest();
    if (!isNewest) return false;
    if (this.isStopping) return true;
    if (this.suspensionWatch.wasSuspendedSince(sentMs)) return true;
    if (isClaim) {
      this.ordersFromMs = ordersFromMs;
      this.claimedFencing = this.known.fencing;
      if (!continuesLease) this.firstFencing = this.known.fencing;
    }
    this.heldSinceMs = sentMs;
    this.heldUntilMs = sentMs + LEASE_TTL_MS;
    if (isClaim) {
      const ordersInMs = Math.max(0, Math.round(ordersFromMs - clock.now()));
      logger.info('order_lease_claimed', {
        fencing: this.known.fencing,
        orders_in_ms: ordersInMs,
      });
    }
    this.notifyListeners();
    return true;
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
