/** Size of this host's share of a pool. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {PoolSpec, ShareView, zoneFraction} from './share_view.js';
import {BucketShape} from './token_bucket.js';

/** State that a peer last reported and that affects this host's share. */
export interface PeerClaim {
  /** Incarnation of this host that the peer knows as a member. */
  countsIncarnation: string;
  /** Version of the declared zones that the peer has applied. */
  version: number;
  /**
   * Tokens that the peer uses beyond its share, or borrowed from hosts that
   * have since left.
   */
  charge: number;
}

/** Rate and burst of this host's share that are in effect. */
export interface EffectivePart {
  shape: BucketShape;
  /** Tokens of the burst that other hosts may still be using. */
  withheld: number;
}

/**
 * Tracks the share of a pool that this host may refill.
 *
 * The share shrinks immediately. It grows only once no other host can still be
 * using the tokens that it gains.
 */
export class SharePart {
  /** 0 until every peer has applied the zones version of this host. */
  private zonePart = 0;
  private burstMembers: number;
  private fewerMembersSinceMs: number | undefined;
  private isOpen = false;
  private wasEstablished = false;
  private readonly startedAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly view: ShareView,
    private readonly settleMs: number,
  ) {
    this.startedAtMs = clock.now();
    this.burstMembers = this.memberCount();
  }

  /**
   * Updates the share from the pool, the membership and the peers' reports.
   *
   * @param spec - current declaration of the pool.
   * @param claims - latest reported state by peer.
   * @returns the share that may refill now.
   */
  now(spec: PoolSpec, claims: ReadonlyMap<string, PeerClaim>): EffectivePart {
    this.followZones(spec, claims);
    const members = this.followMembers();
    const rate = (spec.rate * this.zonePart) / members;
    const burst = (spec.burst * this.zonePart) / this.burstMembers;
    const shape = this.zonePart === 0 ? {rate: 0, burst: 0} : {rate, burst};
    return {shape, withheld: this.withheld(claims)};
  }

  private followZones(
    spec: PoolSpec,
    claims: ReadonlyMap<string, PeerClaim>,
  ): void {
    const {view} = this;
    const wanted = zoneFraction(spec, view.zones(), view.self.zone);
    const {version} = view;
    const allFollow = () =>
      view
        .peers()
        .every(({host}) => (claims.get(host)?.version ?? -1) >= version);
    if (wanted <= this.zonePart || allFollow()) this.zonePart = wanted;
  }

  /**
   * Updates the number of members that divide the zone's fraction.
   *
   * The rate of a host that has left is taken over at once, its burst only
   * after the settle time, since tokens of that burst may still be lent out.
   */
  private followMembers(): number {
    const members = this.memberCount();
    const nowMs = this.clock.now();
    if (members >= this.burstMembers) {
      this.burstMembers = members;
      this.fewerMembersSinceMs = undefined;
    } else {
      this.fewerMembersSinceMs ??= nowMs;
      const waitedMs = nowMs - this.fewerMembersSinceMs;
      if (waitedMs >= this.settleMs) this.burstMembers = members;
    }
    return members;
  }

  /**
   * Returns the tokens of the burst that other hosts may still be using.
   *
   * The whole burst is withheld until every host that joined earlier knows this
   * incarnation: before a restart, some of it may have been lent out.
   */
  private withheld(claims: ReadonlyMap<string, PeerClaim>): number {
    const {self, established, isComplete} = this.view;
    this.wasEstablished ||= established;
    const wasRemoved = this.wasEstablished && !established;
    if (wasRemoved || !isComplete) return Infinity;
    const isSettled = this.clock.now() - this.startedAtMs >= this.settleMs;
    let sum = 0;
    for (const {host, zone} of this.view.peers()) {
      const claim = claims.get(host);
      sum += claim?.charge ?? 0;
      if (this.isOpen || claim?.countsIncarnation === self.incarnation)
        continue;
      const mayBeUnknown = zone === self.zone && !established;
      if (!isSettled || mayBeUnknown) return Infinity;
    }
    this.isOpen = true;
    return sum;
  }

  private memberCount(): number {
    const {self} = this.view;
    const peers = this.view.peers().filter(({zone}) => zone === self.zone);
    return peers.length + 1;
  }
}
