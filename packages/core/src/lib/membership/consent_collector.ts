/** Collection of consents by the lease holder. @packageDocumentation */

import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {CONSENT, CONSENT_TTL_MS} from './consent.js';
import {Member, MemberTable} from './member_table.js';

const CONSENT_TIMEOUT_MS = 1_000;

interface Consent {
  incarnation: string;
  fencing: number;
  untilMs: number;
}

/** Options of a {@link ConsentCollector}. */
export interface ConsentCollectorOptions {
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  /** Whether the platform has permanently removed a host. */
  isGone: (host: string) => boolean;
  /** Called before a consent is stored, so that an expiry is detected first. */
  beforeChange: () => void;
  /** Called after a consent was stored. */
  afterChange: () => void;
}

/** Collects consents from every other known member of the zone. */
export class ConsentCollector {
  private readonly consents = new Map<string, Consent>();
  private readonly pendingHosts = new Set<string>();

  constructor(private readonly options: ConsentCollectorOptions) {}

  /**
   * Requests consent from every other member that has no request pending.
   *
   * @param fencing - fencing number of the lease to extend.
   * @param signal - cancels the requests.
   */
  requestAll(fencing: number, signal: AbortSignal): void {
    for (const member of this.otherMembers()) {
      if (this.pendingHosts.has(member.host)) continue;
      this.pendingHosts.add(member.host);
      void this.requestFrom(member, fencing, signal);
    }
  }

  /**
   * Returns until when consent extends a lease.
   *
   * @param fencing - fencing number of the lease.
   * @returns the clock time until which every other known member consents;
   *     -Infinity if one of them does not.
   */
  validUntilMs(fencing: number): number {
    let untilMs = this.options.clock.now() + CONSENT_TTL_MS;
    for (const {host, incarnation} of this.otherMembers()) {
      const consent = this.consents.get(host);
      if (consent?.incarnation !== incarnation) return -Infinity;
      if (consent.fencing !== fencing) return -Infinity;
      untilMs = Math.min(untilMs, consent.untilMs);
    }
    return untilMs;
  }

  private otherMembers(): Member[] {
    const {members, network, isGone} = this.options;
    return members.others(network.self.host, isGone);
  }

  private async requestFrom(
    {host, incarnation}: Member,
    fencing: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {network, clock} = this.options;
    // Counted from before the request is sent, so that the consent expires here
    // before it expires at the member.
    const untilMs = clock.now() + CONSENT_TTL_MS;
    const answer = await network.call(
      host,
      CONSENT,
      {fencing, incarnation},
      {timeoutMs: CONSENT_TIMEOUT_MS, signal},
    );
    this.pendingHosts.delete(host);
    if (answer.isErr() || !answer.value.granted) return;
    this.options.beforeChange();
    this.consents.set(host, {incarnation, fencing, untilMs});
    this.options.afterChange();
  }
}
