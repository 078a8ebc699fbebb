/** How large this host's part of a pool is now. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {PoolSpec, ShareView, zoneFraction} from './share_view.js';
import {BucketShape} from './token_bucket.js';

/** What a peer has told that bears on this host's part. */
export interface PeerClaim {
  /** Incarnation of this host that the peer counts as a member. */
  countsIncarnation: string;
  /** Version of the zones that the peer has applied. */
  version: number;
  /** Tokens that it uses beyond its part, or of hosts that have gone. */
  charge: number;
}

/** This host's part, and how much of its burst others may still use. */
export interface EffectivePart {
  shape: BucketShape;
  withheld: number;
}

/**
 * Follows the part of a pool that this host may refill.
 *
 * A part shrinks at once and grows only when no other host can still be
 * using what it grows by.
 */
export class SharePart {
  /** Nothing until every host has applied the zones that this one knows. */
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
   * @param spec - the pool as it is declared now.
   * @param claims - the latest claim of each peer that has reported.
   * @returns the part that may refill now.
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

  /** The burst of a host that has gone may be lent out; its rate is not. */
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
   * Until every host that was there before has counted this one, the whole
   * burst is withheld: some of it may be lent out from before a restart.
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
