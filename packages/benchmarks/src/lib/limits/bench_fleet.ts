/** The entry hosts of a limits run, under one of four policies. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {
  Clock,
  MemoryHub,
  PlacementClient,
  PoolSpec,
  Random,
  ReplicaDirectory,
  RequestQueue,
  ShareExchange,
  ShareHost,
  ShareView,
  TokenBucket,
  encodeFrame,
} from '@fuchsiacleat/core';
import {BenchTeam, BenchUser} from './limit_scenario.js';

/**
 * Policies that limit a team's rate over the hosts. `central` is the reference:
 * one bucket that every host reaches without delay or failure.
 */
export const POLICIES = [
  'central',
  'shared',
  'static_split',
  'each_alone',
] as const;

/** One of {@link POLICIES}. */
export type Policy = (typeof POLICIES)[number];

/** A reservation of tokens for a request. */
export interface BenchPermit {
  settle(usedTokens: number): void;
}

/** Longest time for which a request of the benchmark holds tokens. */
export const MAX_HOLD_MS = 20_000;

/** Fraction of each rate that is split over the zones. */
export const FLOOR_FRACTION = 0.5;
const MIN_WAIT_MS = 1;
const LINK_DELAY_MS = 0.2;
const LINK_JITTER_MS = 0.2;

class BenchView extends ShareView {
  readonly version = 1;
  readonly isEstablished = true;
  readonly isComplete = true;

  constructor(
    readonly self: ShareHost,
    private readonly fleet: BenchFleet,
    private readonly weights: ReadonlyMap<string, number>,
  ) {
    super();
  }

  override peers(): ShareHost[] {
    return this.fleet.members.filter(({host}) => host !== this.self.host);
  }

  override zoneWeights(): ReadonlyMap<string, number> {
    return this.weights;
  }
}

/** An entry host of the fleet. */
export class BenchHost {
  readonly abort = new AbortController();
  readonly queue: RequestQueue;

  constructor(
    readonly identity: ShareHost,
    private readonly clock: Clock,
    private readonly exchange: ShareExchange | undefined,
    private readonly buckets: Map<string, TokenBucket>,
    private readonly bucketFraction: number,
    slots: number,
  ) {
    // Each request listens on the signal, so there may be many listeners.
    setMaxListeners(0, this.abort.signal);
    this.queue = createQueue(clock, identity.zone, slots);
  }

  /** Reserves tokens, waiting until the deadline at most. */
  async reserve(
    team: BenchTeam,
    tokens: number,
    deadlineMs: number,
  ): Promise<BenchPermit | undefined> {
    const {signal} = this.abort;
    if (this.exchange !== undefined) {
      const pool = this.exchange.pool(team.name)!;
      const permit = await pool.acquire(tokens, deadlineMs, signal);
      return permit.unwrapOr(undefined);
    }
    const bucket = this.bucketOf(team);
    while (!bucket.take(tokens)) {
      const waitMs = bucket.timeUntil(tokens);
      if (this.clock.now() + waitMs > deadlineMs) return undefined;
      await this.clock.sleep(Math.max(MIN_WAIT_MS, waitMs), signal);
      if (signal.aborted) return undefined;
    }
    return {settle: used => bucket.settle(tokens, used)};
  }

  private bucketOf({name, rate, burst}: BenchTeam): TokenBucket {
    let bucket = this.buckets.get(name);
    if (bucket === undefined) {
      const shape = {
        rate: rate * this.bucketFraction,
        burst: burst * this.bucketFraction,
      };
      bucket = new TokenBucket(this.clock, shape, shape.burst);
      this.buckets.set(name, bucket);
    }
    return bucket;
  }
}

/** All hosts and the network between them. */
export class BenchFleet {
  members: ShareHost[] = [];
  readonly hosts: BenchHost[] = [];
  readonly hub: MemoryHub;
  /** Bytes that each host has sent to its peers, by host name. */
  readonly sentBytes = new Map<string, number>();

  constructor(user: BenchUser, policy: Policy, clock: Clock, random: Random) {
    this.hub = new MemoryHub(clock, random);
    this.hub.faults = {
      minDelayMs: LINK_DELAY_MS,
      maxDelayMs: LINK_DELAY_MS + LINK_JITTER_MS,
      lossFraction: 0,
      duplicationFraction: 0,
    };
    this.hub.onMessage = ({host}, body) => {
      const bytes = encodeFrame({t: 'note', method: 'limits.ask', body}).length;
      this.sentBytes.set(host, (this.sentBytes.get(host) ?? 0) + bytes);
    };
    const zones = Object.entries(user.hosts);
    for (const [zone, count] of zones) {
      for (let index = 1; index <= count; index++) {
        const host = `${zone}-${index}`;
        this.members.push({host, zone, incarnation: `${host}.1`});
      }
    }
    const weights = new Map(zones.map(([zone]) => [zone, 1]));
    const central = new Map<string, TokenBucket>();
    for (const member of this.members) {
      const exchange =
        policy === 'shared'
          ? this.startExchange(member, weights, user.teams, clock)
          : undefined;
      const part = policy === 'static_split' ? 1 / this.members.length : 1;
      const buckets =
        policy === 'central' ? central : new Map<string, TokenBucket>();
      const slots = Math.floor(user.slotsPerZone / user.hosts[member.zone]);
      this.hosts.push(
        new BenchHost(member, clock, exchange, buckets, part, slots),
      );
      if (exchange !== undefined) {
        void exchange.run(this.hosts.at(-1)!.abort.signal);
      }
    }
  }

  /** Stops a host abruptly and disconnects it. */
  kill(host: BenchHost): void {
    host.abort.abort();
    this.hub.remove(host.identity.host);
  }

  /** Removes a host permanently from the members. */
  remove({identity}: BenchHost): void {
    this.members = this.members.filter(({host}) => host !== identity.host);
  }

  private startExchange(
    self: ShareHost,
    weights: ReadonlyMap<string, number>,
    teams: readonly BenchTeam[],
    clock: Clock,
  ): ShareExchange {
    const view = new BenchView(self, this, weights);
    const network = this.hub.join(self);
    const exchange = new ShareExchange({network, clock, view});
    for (const {name, rate, burst} of teams) {
      const spec: PoolSpec = {name, rate, burst, floor: FLOOR_FRACTION};
      exchange.define(spec, MAX_HOLD_MS);
    }
    return exchange;
  }
}

function createQueue(clock: Clock, zone: string, slots: number): RequestQueue {
  const directory = new ReplicaDirectory(clock);
  const placement = {
    provide: () => new Promise(() => {}),
  } as unknown as PlacementClient;
  const queue = new RequestQueue({clock, directory, placement});
  const resident = {model: 'm', version: 'm-1', adapters: []};
  directory.update({
    zone,
    fencing: 1,
    sequence: 1,
    targets: [
      {
        target: `pool-${zone}`,
        slots,
        running: 0,
        leaving: false,
        residents: [{...resident, state: 'ready'}],
      },
    ],
  });
  return queue;
}
