/** The lease of this host's zone. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PeerNetwork} from '../peers/peer_network.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {CONSENT, ConsentGiver} from './consent.js';
import {ConsentCollector} from './consent_collector.js';
import {EntrustedRecords} from './entrusted_records.js';
import {JoinStatus} from './join_status.js';
import {
  Authority,
  LONGEST_ORDER_MS,
  LeaseAuthority,
  NoAuthority,
} from './lease_authority.js';
import {
  CLAIM,
  Lease,
  LeaseState,
  PROBE,
  RELEASE,
  RENEW,
} from './lease_state.js';
import {MemberTable} from './member_table.js';
import {ZoneStream} from './zone_stream.js';

/** Lifetime of a lease after its last renewal, in milliseconds. */
export const LEASE_TTL_MS = 6_000;

/** Additional time that a claimant waits after the expiry, in milliseconds. */
export const LEASE_MARGIN_MS = 1_000;

const RENEW_INTERVAL_MS = 2_000;
const CHECK_INTERVAL_MS = 250;
const APPEND_BOUND_MS = 2_000;
const CLAIM_RETRY_DELAY_MS = 4_000;

/**
 * Remaining time of the lease according to the log below which consent is
 * requested, in milliseconds.
 */
const ASK_CONSENT_BELOW_MS = 3_000;
const CONSENT_INTERVAL_MS = 1_000;

/**
 * Time of uninterrupted consent after which a member probes the log, in
 * milliseconds.
 */
const CONSENT_PATIENCE_MS = 10_000;

/** Options of a {@link ZoneLease}. */
export interface ZoneLeaseOptions {
  stream: ZoneStream;
  members: MemberTable;
  network: PeerNetwork;
  joins: JoinStatus;
  records: EntrustedRecords;
  clock: Clock;
  logger: Logger;
  /** Whether the platform has permanently removed a host. */
  isGone: (host: string) => boolean;
  /** Whether the platform is about to remove this host. */
  isLeaving: () => boolean;
}

interface Held {
  fencing: number;
  /** Clock time until which the lease is valid according to the log. */
  logUntilMs: number;
  heldSinceMs: number;
  orderableFromMs: number;
  /** Whether listeners were last notified that authority was gained. */
  standing: boolean;
}

/** Claims, renews and releases the lease on behalf of this host. */
export class ZoneLease extends LeaseAuthority {
  private readonly state: LeaseState;
  private readonly giver: ConsentGiver;
  private readonly collector: ConsentCollector;
  private lastChangeMs: number;
  private nextClaimMs = -Infinity;
  private held: Held | undefined;
  private claiming = false;
  private stopping = false;

  constructor(private readonly options: ZoneLeaseOptions) {
    super();
    const {clock, stream, members, network, isGone} = options;
    this.lastChangeMs = clock.now();
    this.state = new LeaseState(stream, members);
    this.state.onChange(() => {
      this.lastChangeMs = clock.now();
      this.giver.reconcile();
    });
    this.giver = new ConsentGiver({
      clock,
      state: this.state,
      incarnation: network.self.incarnation,
      isClaiming: () => this.claiming,
    });
    network.serveUnary(CONSENT, req => ({granted: this.giver.answer(req)}));
    this.collector = new ConsentCollector({
      members,
      network,
      clock,
      isGone,
      beforeChange: () => this.check(),
      afterChange: () => this.noteExtended('consent'),
    });
  }

  override check(): Result<Authority, NoAuthority> {
    const authority = this.evaluate();
    if (authority.isErr()) this.noteLost();
    return authority;
  }

  override holder(): string | undefined {
    const lease = this.state.current;
    return lease === undefined || lease.released ? undefined : lease.host;
  }

  /**
   * Whether the lease is extended by consent because the log is unreachable.
   * Starts when the lease is about to expire according to the log.
   */
  get isByConsent(): boolean {
    if (this.held === undefined || this.check().isErr()) return false;
    const remainingMs = this.held.logUntilMs - this.options.clock.now();
    return remainingMs <= ASK_CONSENT_BELOW_MS;
  }

  /**
   * Claims the lease when it is free and extends it while it is held.
   *
   * @param signal - stops the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {stream, clock} = this.options;
    await stream.caughtUp();
    const overLog = clock.every(CHECK_INTERVAL_MS, signal, () =>
      this.stepOverLog(signal),
    );
    const overLinks = clock.every(CONSENT_INTERVAL_MS, signal, () =>
      this.askConsent(signal),
    );
    await Promise.all([overLog, overLinks]);
  }

  /**
   * Releases the lease, if it is held, so that another host may claim it at
   * once. This host has no authority from the moment of the call.
   *
   * @param settled - whether all orders of this host have ended. If not, the
   *     next holder waits for them at targets that do not check fencing
   *     numbers.
   * @param signal - stops waiting for the log.
   */
  async release(settled: boolean, signal: AbortSignal): Promise<void> {
    this.stopping = true;
    const {held} = this;
    this.noteLost();
    this.held = undefined;
    if (held === undefined) return;
    const body = {claim: held.fencing, settled};
    const {stream, logger} = this.options;
    await stream.append(RELEASE, body, LEASE_TTL_MS, signal);
    logger.info('lease_released', body);
  }

  private evaluate(): Result<Authority, NoAuthority> {
    const {held} = this;
    if (held === undefined)
      return noAuthority('this host does not hold the lease');
    const {fencing, heldSinceMs, orderableFromMs} = held;
    if (this.state.current?.fencing !== fencing) {
      return noAuthority('another host has claimed the lease');
    }
    const consentUntilMs = this.collector.validUntilMs(fencing);
    const validUntilMs = Math.max(held.logUntilMs, consentUntilMs);
    if (this.options.clock.now() >= validUntilMs) {
      return noAuthority('the lease has expired');
    }
    return ok({fencing, validUntilMs, heldSinceMs, orderableFromMs});
  }

  private async stepOverLog(signal: AbortSignal): Promise<void> {
    this.check();
    if (this.stopping || this.giver.promised) {
      if (this.giver.promisedForMs > CONSENT_PATIENCE_MS) {
        await this.tryLog(signal);
      }
      return;
    }
    const lease = this.state.current;
    if (this.isOwn(lease)) await this.renewIfDue(lease, signal);
    else if (this.mayClaim()) await this.claim(signal);
  }

  /**
   * Returns whether this host holds a lease. This includes a lease whose claim
   * timed out with an unknown outcome.
   */
  private isOwn(lease: Lease | undefined): lease is Lease {
    const {host, incarnation} = this.options.network.self;
    if (lease === undefined || lease.released) return false;
    return lease.host === host && lease.incarnation === incarnation;
  }

  private mayClaim(): boolean {
    const {clock, joins, isLeaving} = this.options;
    const nowMs = clock.now();
    if (!joins.established || isLeaving()) return false;
    if (nowMs < this.nextClaimMs) return false;
    const lease = this.state.current;
    if (lease === undefined || lease.released) return true;
    return nowMs - this.lastChangeMs >= lease.ttlMs + LEASE_MARGIN_MS;
  }

  private async claim(signal: AbortSignal): Promise<void> {
    const {stream, clock, logger, network, records} = this.options;
    const {host, incarnation} = network.self;
    // Records that this host keeps for an earlier holder must be in the log
    // before a claim.
    if (!(await records.flush(signal)) || !this.mayClaim()) return;
    const sentMs = clock.now();
    const supersedes = this.state.current?.lastRecord ?? null;
    const body = {host, incarnation, ttlMs: LEASE_TTL_MS, supersedes};
    this.claiming = true;
    const record = await stream.append(CLAIM, body, APPEND_BOUND_MS, signal);
    this.claiming = false;
    this.nextClaimMs = clock.now() + CLAIM_RETRY_DELAY_MS;
    const lease = this.state.current;
    if (record.isErr() || lease === undefined || this.stopping) return;
    // The claim may have been rejected when it was read back.
    if (lease.fencing !== record.value.offset) return;
    logger.info('lease_claimed', {fencing: lease.fencing});
    this.extend(lease, sentMs + lease.ttlMs);
  }

  private async renewIfDue(lease: Lease, signal: AbortSignal): Promise<void> {
    const {stream, clock} = this.options;
    const sentMs = clock.now();
    const isHeld = this.held?.fencing === lease.fencing;
    const untilMs = isHeld ? this.held!.logUntilMs : -Infinity;
    if (untilMs - sentMs > LEASE_TTL_MS - RENEW_INTERVAL_MS) return;
    const body = {claim: lease.fencing};
    const record = await stream.append(RENEW, body, APPEND_BOUND_MS, signal);
    if (record.isErr() || this.state.current !== lease) return;
    // The renewal may have been rejected when it was read back.
    if (lease.lastRecord < record.value.offset) return;
    if (this.giver.promised || this.stopping) return;
    this.extend(lease, sentMs + lease.ttlMs);
  }

  private extend(lease: Lease, logUntilMs: number): void {
    this.check();
    const nowMs = this.options.clock.now();
    if (this.held?.fencing !== lease.fencing) {
      this.held = {
        fencing: lease.fencing,
        logUntilMs,
        heldSinceMs: nowMs,
        orderableFromMs: nowMs + (lease.afterSettled ? 0 : LONGEST_ORDER_MS),
        standing: false,
      };
    }
    this.held.logUntilMs = Math.max(this.held.logUntilMs, logUntilMs);
    this.noteExtended('log');
  }

  private noteExtended(by: 'log' | 'consent'): void {
    const {held} = this;
    if (held === undefined || held.standing || this.evaluate().isErr()) return;
    const nowMs = this.options.clock.now();
    held.standing = true;
    held.heldSinceMs = nowMs;
    // Without the log this host cannot know who held the lease during the gap.
    if (by === 'consent') held.orderableFromMs = nowMs + LONGEST_ORDER_MS;
    const authority = this.evaluate();
    if (authority.isOk()) this.notifyGained(authority.value);
  }

  private noteLost(): void {
    if (!this.held?.standing) return;
    this.held.standing = false;
    this.options.logger.warn('lease_lost', {fencing: this.held.fencing});
    this.notifyLost();
  }

  private askConsent(signal: AbortSignal): void {
    const {held} = this;
    if (held === undefined || this.stopping || this.giver.promised) return;
    if (this.state.current?.fencing !== held.fencing) return;
    const remainingMs = held.logUntilMs - this.options.clock.now();
    if (remainingMs > ASK_CONSENT_BELOW_MS) return;
    this.collector.ask(held.fencing, signal);
  }

  /**
   * Probes the log and refuses further consent if this member reaches it.
   * Otherwise a holder that alone is cut off from the log would hold the lease
   * indefinitely. The member claims the lease after the expiry.
   */
  private async tryLog(signal: AbortSignal): Promise<void> {
    const {stream, network} = this.options;
    const {host} = network.self;
    const seen = await stream.append(PROBE, {host}, APPEND_BOUND_MS, signal);
    if (seen.isOk()) this.giver.withdraw();
    else await this.options.clock.sleep(CLAIM_RETRY_DELAY_MS, signal);
  }
}

function noAuthority(message: string): Result<never, NoAuthority> {
  return err({type: 'no-authority', message});
}
