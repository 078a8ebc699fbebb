/** Hosts that share the limits of targets, for tests. @packageDocumentation */

import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {PeerNetwork} from '../../lib/peers/peer_network.js';
import {LimitExchange} from '../../lib/target_limits/limit_exchange.js';
import {TargetSends} from '../../lib/target_limits/target_sends.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {DEFAULT_COLD_BOUNDS} from '../../lib/warming/cold_pace.js';
import {ColdSpec} from '../../lib/warming/target_warming.js';
import {Warming} from '../../lib/warming/warming.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

const never = new AbortController().signal;
const OBJECTIVE_MS = 400;
const STEP_MS = 10;

/** One host of a {@link LimitsWorld}. */
export class LimitsHost {
  readonly targets: TargetTable;
  readonly exchange: LimitExchange;
  readonly sends: TargetSends;
  /** Clock time at which this host learned of the end of an evacuation. */
  endedMs: number | undefined;
  /** Whether the target is in service, as far as this host knows. */
  isInService = true;

  constructor(
    private readonly world: LimitsWorld,
    readonly network: PeerNetwork,
  ) {
    const {clock} = world;
    const hostCount = () => world.hosts.length;
    const bounds = DEFAULT_COLD_BOUNDS;
    const warming = new Warming({
      clock,
      spec: () => world.cold,
      isDeclared: () => world.cold !== undefined,
      bounds,
      hostCount,
      hasList: () => true,
      evacuations: {endedMs: () => this.endedMs},
    });
    const targets = new TargetTable(clock, undefined, warming);
    this.targets = targets;
    this.targets.put(targetRegistration({id: 't1'}), true);
    this.exchange = new LimitExchange({
      clock,
      network,
      targets,
      lendingHost: () => world.lendingHostFor(network.self.host),
      hostCount,
    });
    this.sends = new TargetSends(clock, this.exchange, {
      targets,
      bounds,
      perSecond: () => world.cold?.perSecond,
    });
    void this.exchange.run(new AbortController().signal);
  }

  get target(): KnownTarget {
    return this.targets.get('t1')!;
  }

  /** Receives an answer of the target that names a limit, or none. */
  hear(perSecond: number | undefined): void {
    this.targets.recordLimit(this.target, perSecond);
  }

  /** Asks for a send; one that is granted counts as an arrival. */
  async send(): Promise<void> {
    const {sends, target, world} = this;
    const options = {objectiveMs: OBJECTIVE_MS, hasOther: () => false};
    const permit = await sends.acquire(target, options, never);
    await world.delayWrite();
    if (permit?.isValid) world.arrivalsMs.push(world.clock.now());
  }
}

/** A number of hosts, one of which shares the limits. */
export class LimitsWorld {
  readonly clock = new ManualClock();
  readonly hosts: LimitsHost[] = [];
  /** Times at which granted requests arrived at the target. */
  readonly arrivalsMs: number[] = [];
  /** Index of the lending host, if there is one. */
  lending: number | undefined = 0;
  /** Index of another host that takes itself for the lending one. */
  otherLending: number | undefined;
  /** Differs whenever the lending host changes. */
  fencing = 0;
  /** What the target declares; undefined if it is never cold. */
  cold: ColdSpec | undefined;
  /** Longest time between a grant and the write of the request. */
  maxWriteDelayMs = 0;
  /** Names of the hosts that reach no other host. */
  readonly isolated = new Set<string>();
  private readonly random = new Random(1);
  readonly hub = new MemoryHub(this.clock, this.random);
  private incarnations = 0;

  constructor(hostCount: number) {
    this.hub.isPartitioned = (from, to) =>
      this.isolated.has(from.host) || this.isolated.has(to.host);
    for (let i = 0; i < hostCount; i++) this.startHost(i);
  }

  /** Starts a host, in place of the earlier one with this index. */
  startHost(index: number): LimitsHost {
    const host = `h${index}`;
    const incarnation = `${host}-${++this.incarnations}`;
    const network = this.hub.join({host, zone: 'z', incarnation});
    this.hosts[index] = new LimitsHost(this, network);
    return this.hosts[index];
  }

  /** Returns the lending host that a host hears. */
  lendingHostFor(host: string) {
    const lending = this.followsOther(host) ? this.otherLending : this.lending;
    if (lending === undefined) return undefined;
    const self = this.hosts[lending]?.network.self;
    if (self === undefined) return undefined;
    const isCut = this.isolated.has(host) || this.isolated.has(self.host);
    const {fencing} = this;
    return host === self.host || !isCut ? {...self, fencing} : undefined;
  }

  /** Waits for a connection, at random. */
  async delayWrite(): Promise<void> {
    if (this.maxWriteDelayMs === 0) return;
    await this.clock.sleep(this.random.float() * this.maxWriteDelayMs);
  }

  /** Of two lending hosts, each is believed by itself and by half of the others. */
  private followsOther(host: string): boolean {
    const {lending, otherLending} = this;
    if (otherLending === undefined || host === `h${lending}`) return false;
    return host === `h${otherLending}` || Number(host.slice(1)) % 2 === 1;
  }

  /**
   * Lets every host ask for sends at random, more often than the limit allows.
   *
   * @param forMs - duration.
   * @param askMs - average time between two requests of a host.
   */
  async play(forMs: number, askMs: number): Promise<void> {
    const endMs = this.clock.now() + forMs;
    while (this.clock.now() < endMs) {
      for (const host of this.hosts) {
        const isAsking = this.random.float() < STEP_MS / askMs;
        if (isAsking && host.isInService) void host.send();
      }
      await this.clock.advance(STEP_MS);
    }
  }
}
