/** Claims, renews and gives up the lease of this host's zone. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {PeerIdentity} from '../peers/peer_network.js';
import {Authority, LeaseAuthority, NoAuthority} from './lease_authority.js';
import {CLAIM, LeaseState, RELEASE, RENEW} from './lease_state.js';
import {ZoneStream} from './zone_stream.js';

/** How long a lease stands after its last renewal, in milliseconds. */
export const LEASE_TTL_MS = 6_000;

/** How much longer a claimant waits, in milliseconds. */
export const LEASE_MARGIN_MS = 1_000;

const RENEW_INTERVAL_MS = 2_000;
const CHECK_INTERVAL_MS = 250;

/** What a {@link ZoneLease} works with. */
export interface ZoneLeaseOptions {
  self: PeerIdentity;
  stream: ZoneStream;
  clock: Clock;
  logger: Logger;
}

/** This host's part in the lease of its zone. */
export class ZoneLease extends LeaseAuthority {
  private readonly state: LeaseState;
  private lastChangeMs: number;
  private authority: Authority | undefined;

  constructor(private readonly options: ZoneLeaseOptions) {
    super();
    this.lastChangeMs = options.clock.now();
    this.state = new LeaseState(options.stream);
    this.state.onChange(() => {
      this.lastChangeMs = options.clock.now();
    });
  }

  override check(): Result<Authority, NoAuthority> {
    const {authority} = this;
    if (authority === undefined) return noAuthority('the lease is not held');
    if (this.options.clock.now() >= authority.validUntilMs) {
      return noAuthority('the lease has lapsed');
    }
    if (this.state.current?.fencing !== authority.fencing) {
      return noAuthority('another host has claimed the lease');
    }
    return ok(authority);
  }

  override holder(): string | undefined {
    const lease = this.state.current;
    return lease === undefined || lease.released ? undefined : lease.host;
  }

  /**
   * Claims the lease when it is free and renews it while it is held.
   *
   * @param signal - ends the work; the lease is then given up at once.
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.options.stream.caughtUp();
    await this.options.clock.every(CHECK_INTERVAL_MS, signal, async () => {
      if (this.check().isOk()) await this.renewIfDue(signal);
      else if (this.mayClaim()) await this.claim(signal);
    });
  }

  /** Gives the lease up, if it is held, so that another may claim at once. */
  async release(signal: AbortSignal): Promise<void> {
    const authority = this.check();
    this.authority = undefined;
    if (authority.isErr()) return;
    const body = {claim: authority.value.fencing};
    const {stream, logger} = this.options;
    await stream.append(RELEASE, body, LEASE_TTL_MS, signal);
    logger.info('lease_released', body);
  }

  private mayClaim(): boolean {
    const lease = this.state.current;
    if (lease === undefined || lease.released) return true;
    const waitedMs = this.options.clock.now() - this.lastChangeMs;
    return waitedMs >= lease.ttlMs + LEASE_MARGIN_MS;
  }

  private async claim(signal: AbortSignal): Promise<void> {
    const {self, stream, clock, logger} = this.options;
    const sentMs = clock.now();
    const body = {
      host: self.host,
      incarnation: self.incarnation,
      ttlMs: LEASE_TTL_MS,
      supersedes: this.state.current?.lastRecord ?? null,
    };
    const record = await stream.append(CLAIM, body, LEASE_TTL_MS, signal);
    if (record.isErr()) return;
    const fencing = record.value.offset;
    if (this.state.current?.fencing !== fencing) return;
    this.authority = {fencing, validUntilMs: sentMs + LEASE_TTL_MS};
    logger.info('lease_claimed', {fencing});
  }

  private async renewIfDue(signal: AbortSignal): Promise<void> {
    const {stream, clock} = this.options;
    const {authority} = this;
    if (authority === undefined) return;
    const sentMs = clock.now();
    const remainingMs = authority.validUntilMs - sentMs;
    if (remainingMs > LEASE_TTL_MS - RENEW_INTERVAL_MS) return;
    const body = {claim: authority.fencing};
    const record = await stream.append(RENEW, body, remainingMs, signal);
    if (record.isErr()) return;
    authority.validUntilMs = sentMs + LEASE_TTL_MS;
  }
}

function noAuthority(message: string): Result<never, NoAuthority> {
  return err({type: 'no-authority', message});
}
