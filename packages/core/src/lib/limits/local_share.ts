/** Size of this host's share of a pool. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {PoolSpec, ShareView, zoneFraction} from './share_view.js';
import {BucketShape} from './token_bucket.js';

/** State that a peer last reported and that affects this host's share. */
export interface PeerShareState {
  /** Incarnation of this host that the peer knows as a member. */
  knownIncarnation: string;
  /** Version of the declared zones that the peer has applied. */
  version: number;
  /**
   * Tokens that the peer uses beyond its share, or borrowed from hosts that
   * have since left.
   */
  charge: number;
}

/** Rate and burst of this host's share that are in effect. */
export interface EffectiveShare {
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
export class LocalShare {
  /** 0 until every peer has applied the zones version of this host. */
  private effectiveZoneFraction = 0;
  private burstMemberCount: number;
  private memberCountDroppedAtMs: number | undefined;
  private isBurstReleased = false;
  private wasEstablished = false;
  private readonly startedAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly view: ShareView,
    private readonly settleMs: number,
  ) {
    this.startedAtMs = clock.now();
    this.burstMemberCount = this.memberCount();
  }

  /**
   * Updates the share from the pool, the membership and the peers' reports.
   *
   * @param spec - current declaration of the pool.
   * @param peerStates - latest reported state by peer.
   * @returns the share that may refill now.
   */
  update(
    spec: PoolSpec,
    peerStates: ReadonlyMap<string, PeerShareState>,
  ): EffectiveShare {
    this.updateZoneFraction(spec, peerStates);
    const members = this.updateMemberCount();
    const rate = (spec.rate * this.effectiveZoneFraction) / members;
    const burst =
      (spec.burst * this.effectiveZoneFraction) / this.burstMemberCount;
    const shape =
      this.effectiveZoneFraction === 0 ? {rate: 0, burst: 0} : {rate, burst};
    return {shape, withheld: this.withheld(peerStates)};
  }

  private updateZoneFraction(
    spec: PoolSpec,
    peerStates: ReadonlyMap<string, PeerShareState>,
  ): void {
    const {view} = this;
    const declaredFraction = zoneFraction(
      spec,
      view.zoneWeights(),
      view.self.zone,
    );
    const {version} = view;
    const haveAllPeersApplied = () =>
      view
        .peers()
        .every(({host}) => (peerStates.get(host)?.version ?? -1) >= version);
    if (declaredFraction <= this.effectiveZoneFraction || haveAllPeersApplied())
      this.effectiveZoneFraction = declaredFraction;
  }

  /**
   * Updates the number of members that divide the zone's fraction.
   *
   * The rate of a host that has left is taken over at once, its burst only
   * after the settle time, since tokens of that burst may still be lent out.
   */
  private updateMemberCount(): number {
    const members = this.memberCount();
    const nowMs = this.clock.now();
    if (members >= this.burstMemberCount) {
      this.burstMemberCount = members;
      this.memberCountDroppedAtMs = undefined;
    } else {
      this.memberCountDroppedAtMs ??= nowMs;
      const waitedMs = nowMs - this.memberCountDroppedAtMs;
      if (waitedMs >= this.settleMs) this.burstMemberCount = members;
    }
    return members;
  }

  /**
   * Returns the tokens of the burst that other hosts may still be using.
   *
   * The whole burst is withheld until every host that joined earlier knows this
   * incarnation: before a restart, some of it may have been lent out.
   */
  private withheld(peerStates: ReadonlyMap<string, PeerShareState>): number {
    const {self, isEstablished: established, isComplete} = this.view;
    this.wasEstablished ||= established;
    const wasRemoved = this.wasEstablished && !established;
    if (wasRemoved || !isComplete) return Infinity;
    const isSettled = this.clock.now() - this.startedAtMs >= this.settleMs;
    let sum = 0;
    for (const {host, zone} of this.view.peers()) {
      const peerState = peerStates.get(host);
      sum += peerState?.charge ?? 0;
      if (
        this.isBurstReleased ||
        peerState?.knownIncarnation === self.incarnation
      )
        continue;
      const mayBeUnknown = zone === self.zone && !established;
      if (!isSettled || mayBeUnknown) return Infinity;
    }
    this.isBurstReleased = true;
    return sum;
  }

  private memberCount(): number {
    const {self} = this.view;
    const peers = this.view.peers().filter(({zone}) => zone === self.zone);
    return peers.length + 1;
  }
}
