/** The lease of this host's zone. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PeerNetwork} from '../peers/peer_network.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {CONSENT, ConsentGrantor} from './consent.js';
import {ConsentCollector} from './consent_collector.js';
import {EntrustedRecords} from './entrusted_records.js';
import {JoinStatus} from './join_status.js';
import {
  Authority,
  MAX_ORDER_DURATION_MS,
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
const APPEND_TIMEOUT_MS = 2_000;
const CLAIM_RETRY_DELAY_MS = 4_000;

/**
 * Remaining time of the lease according to the log below which consent is
 * requested, in milliseconds.
 */
const CONSENT_THRESHOLD_MS = 3_000;
const CONSENT_INTERVAL_MS = 1_000;

/**
 * Time of uninterrupted consent after which a member probes the log, in
 * milliseconds.
 */
const LOG_PROBE_DELAY_MS = 10_000;

/** Options of a {@link ZoneLease}. */
export interface ZoneLeaseOptions {
  stream: ZoneStream;
  members: MemberTable;
  network: PeerNetwork;
  joinStatus: JoinStatus;
  records: EntrustedRecords;
  clock: Clock;
  logger: Logger;
  /** Whether the platform has permanently removed a host. */
  isGone: (host: string) => boolean;
  /** Whether the platform is about to remove this host. */
  isLeaving: () => boolean;
}

interface HeldLease {
  fencing: number;
  /** Clock time until which the lease is valid according to the log. */
  logUntilMs: number;
  heldSinceMs: number;
  orderableFromMs: number;
  /** Whether listeners were last notified that authority was gained. */
  isActive: boolean;
}

/** Claims, renews and releases the lease on behalf of this host. */
export class ZoneLease extends LeaseAuthority {
  private readonly state: LeaseState;
  private readonly grantor: ConsentGrantor;
  private readonly collector: ConsentCollector;
  private lastChangeMs: number;
  private nextClaimMs = -Infinity;
  private held: HeldLease | undefined;
  private isClaiming = false;
  private isStopping = false;

  constructor(private readonly options: ZoneLeaseOptions) {
    super();
    const {clock, stream, members, network, isGone} = options;
    this.lastChangeMs = clock.now();
    this.state = new LeaseState(stream, members);
    this.state.onChange(() => {
      this.lastChangeMs = clock.now();
      this.grantor.clearRefusal();
    });
    this.grantor = new ConsentGrantor({
      clock,
      state: this.state,
      incarnation: network.self.incarnation,
      isClaiming: () => this.isClaiming,
    });
    network.serveUnary(CONSENT, req => ({granted: this.grantor.answer(req)}));
    this.collector = new ConsentCollector({
      members,
      network,
      clock,
      isGone,
      beforeChange: () => this.check(),
      afterChange: () => this.recordExtension('consent'),
    });
  }

  override check(): Result<Authority, NoAuthority> {
    const authority = this.evaluate();
    if (authority.isErr()) this.recordLoss();
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
    return remainingMs <= CONSENT_THRESHOLD_MS;
  }

  /**
   * Claims the lease when it is free and extends it while it is held.
   *
   * @param signal - stops the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {stream, clock} = this.options;
    await stream.caughtUp();
    const logTask = clock.every(CHECK_INTERVAL_MS, signal, () =>
      this.claimOrRenew(signal),
    );
    const consentTask = clock.every(CONSENT_INTERVAL_MS, signal, () =>
      this.requestConsent(signal),
    );
    await Promise.all([logTask, consentTask]);
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
    this.isStopping = true;
    const {held} = this;
    this.recordLoss();
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

  private async claimOrRenew(signal: AbortSignal): Promise<void> {
    this.check();
    if (this.isStopping || this.grantor.isBound) {
      if (this.grantor.boundForMs > LOG_PROBE_DELAY_MS) {
        await this.probeLog(signal);
      }
      return;
    }
    const lease = this.state.current;
    if (this.isOwn(lease)) await this.renewIfDue(lease, signal);
    else if (this.canClaim()) await this.claim(signal);
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

  private canClaim(): boolean {
    const {clock, joinStatus, isLeaving} = this.options;
    const nowMs = clock.now();
    if (!joinStatus.isEstablished || isLeaving()) return false;
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
    if (!(await records.flush(signal)) || !this.canClaim()) return;
    const sentMs = clock.now();
    const supersedes = this.state.current?.lastRecord ?? null;
    const body = {host, incarnation, ttlMs: LEASE_TTL_MS, supersedes};
    this.isClaiming = true;
    const record = await stream.append(CLAIM, body, APPEND_TIMEOUT_MS, signal);
    this.isClaiming = false;
    this.nextClaimMs = clock.now() + CLAIM_RETRY_DELAY_MS;
    const lease = this.state.current;
    if (record.isErr() || lease === undefined || this.isStopping) return;
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
    const record = await stream.append(RENEW, body, APPEND_TIMEOUT_MS, signal);
    if (record.isErr() || this.state.current !== lease) return;
    // The renewal may have been rejected when it was read back.
    if (lease.lastRecord < record.value.offset) return;
    if (this.grantor.isBound || this.isStopping) return;
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
        orderableFromMs:
          nowMs + (lease.afterSettled ? 0 : MAX_ORDER_DURATION_MS),
        isActive: false,
      };
    }
    this.held.logUntilMs = Math.max(this.held.logUntilMs, logUntilMs);
    this.recordExtension('log');
  }

  private recordExtension(by: 'log' | 'consent'): void {
    const {held} = this;
    if (held === undefined || held.isActive || this.evaluate().isErr()) return;
    const nowMs = this.options.clock.now();
    held.isActive = true;
    held.heldSinceMs = nowMs;
    // Without the log this host cannot know who held the lease during the gap.
    if (by === 'consent') held.orderableFromMs = nowMs + MAX_ORDER_DURATION_MS;
    const authority = this.evaluate();
    if (authority.isOk()) this.notifyGained(authority.value);
  }

  private recordLoss(): void {
    if (!this.held?.isActive) return;
    this.held.isActive = false;
    this.options.logger.warn('lease_lost', {fencing: this.held.fencing});
    this.notifyLost();
  }

  private requestConsent(signal: AbortSignal): void {
    const {held} = this;
    if (held === undefined || this.isStopping || this.grantor.isBound) return;
    if (this.state.current?.fencing !== held.fencing) return;
    const remainingMs = held.logUntilMs - this.options.clock.now();
    if (remainingMs > CONSENT_THRESHOLD_MS) return;
    this.collector.requestAll(held.fencing, signal);
  }

  /**
   * Probes the log and refuses further consent if this member reaches it.
   * Otherwise a holder that alone is cut off from the log would hold the lease
   * indefinitely. The member claims the lease after the expiry.
   */
  private async probeLog(signal: AbortSignal): Promise<void> {
    const {stream, network} = this.options;
    const {host} = network.self;
    const seen = await stream.append(PROBE, {host}, APPEND_TIMEOUT_MS, signal);
    if (seen.isOk()) this.grantor.refuseCurrentLease();
    else await this.options.clock.sleep(CLAIM_RETRY_DELAY_MS, signal);
  }
}

function noAuthority(message: string): Result<never, NoAuthority> {
  return err({type: 'no-authority', message});
}
