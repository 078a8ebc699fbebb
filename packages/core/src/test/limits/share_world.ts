/** Simulates hosts that share a pool, with injected faults. @packageDocumentation */

import {
  ManualClock,
  MemoryHub,
  PoolPermit,
  PoolSpec,
  Random,
  ShareExchange,
  ShareHost,
  ShareView,
  SharedPool,
} from '../../index.js';

/** Maximum time that a simulated request holds tokens, in milliseconds. */
export const MAX_HOLD_MS = 2_000;

const STEP_MS = 100;
const GENERATION_STEPS = 4;

/** One version of the declared configuration. */
export interface WorldConfig {
  spec: PoolSpec;
  zones: ReadonlyMap<string, number>;
}

/** Number of tokens counted at a point in time. */
export interface TokenCount {
  atMs: number;
  tokens: number;
}

type MemberEvent = {type: 'join' | 'leave'} & ShareHost;

/** Share view of a host, from the part of the log that it has read. */
class WorldView extends ShareView {
  recordsRead = 0;
  version = 0;
  readonly isComplete = true;
  private wasKnownToZone = false;

  constructor(
    readonly self: ShareHost,
    private readonly world: ShareWorld,
  ) {
    super();
  }

  override get isEstablished(): boolean {
    this.wasKnownToZone ||= this.world.isKnownToZone(this.self);
    return this.wasKnownToZone;
  }

  override peers(): ShareHost[] {
    return this.world
      .membersAt(this.recordsRead)
      .filter(({host}) => host !== this.self.host);
  }

  override zoneWeights(): ReadonlyMap<string, number> {
    return this.world.configs[this.version].zones;
  }
}

interface WorldHost {
  view: WorldView;
  exchange: ShareExchange;
  pool: SharedPool;
  abort: AbortController;
}

/** Simulates the hosts and the log that they read, and counts all tokens. */
export class ShareWorld {
  readonly clock = new ManualClock();
  readonly hub: MemoryHub;
  readonly configs: WorldConfig[];
  readonly hosts = new Map<string, WorldHost>();
  /** Zones partitioned from the other zones and from the log. */
  readonly partitionedZones = new Set<string>();
  readonly admitted: TokenCount[] = [];
  readonly generated: TokenCount[] = [];
  private readonly events: MemberEvent[] = [];
  private incarnations = 0;

  constructor(seed: number, config: WorldConfig) {
    this.hub = new MemoryHub(this.clock, new Random(seed));
    this.hub.isPartitioned = (a, b) =>
      a.zone !== b.zone &&
      (this.partitionedZones.has(a.zone) || this.partitionedZones.has(b.zone));
    this.configs = [config];
  }

  /** Starts or restarts a host, unless its zone is partitioned. */
  start(host: string, zone: string): void {
    if (this.partitionedZones.has(zone) || this.hosts.has(host)) return;
    const incarnation = `${host}.${++this.incarnations}`;
    const self = {host, zone, incarnation};
    this.events.push({type: 'join', ...self});
    const view = new WorldView(self, this);
    this.read(view);
    const {clock} = this;
    const network = this.hub.join(self);
    const exchange = new ShareExchange({network, clock, view});
    const {spec} = this.configs[view.version];
    const pool = exchange.define(spec, MAX_HOLD_MS);
    const abort = new AbortController();
    void exchange.run(abort.signal);
    this.hosts.set(host, {view, exchange, pool, abort});
  }

  /** Stops a host abruptly, together with its requests. */
  crash(host: string): void {
    this.hosts.get(host)?.abort.abort();
    this.hub.remove(host);
    this.hosts.delete(host);
  }

  /** Records in the log that a crashed host was removed. */
  remove(host: string): void {
    if (this.hosts.has(host)) return;
    const known = this.membersAt(this.events.length);
    const member = known.find(other => other.host === host);
    if (member !== undefined) this.events.push({type: 'leave', ...member});
  }

  /** Lets a host read the log to its end, unless its zone is partitioned. */
  sync(host: string): void {
    const known = this.hosts.get(host);
    if (known === undefined || this.partitionedZones.has(known.view.self.zone))
      return;
    this.read(known.view);
    known.exchange.define(this.configs[known.view.version].spec, MAX_HOLD_MS);
  }

  /**
   * Starts a request that takes tokens and generates a fraction of them over
   * time.
   *
   * @param host - name of the host that receives it.
   * @param tokens - tokens that it takes; fewer if fewer are available.
   * @param usedFraction - fraction of the tokens that it generates, 0 to 1.
   * @param holdMs - duration of the request, in milliseconds.
   */
  request(
    host: string,
    tokens: number,
    usedFraction: number,
    holdMs: number,
  ): void {
    const known = this.hosts.get(host);
    if (known === undefined) return;
    const taken = Math.min(tokens, known.pool.available);
    if (taken <= 0) return;
    const permit = known.pool.tryTake(taken);
    if (permit === undefined) return;
    const admission: TokenCount = {atMs: this.clock.now(), tokens: 0};
    this.admitted.push(admission);
    const {signal} = known.abort;
    void this.generate(permit, taken * usedFraction, holdMs, admission, signal);
  }

  /** Advances the clock in small steps. */
  async advance(durationMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      await this.clock.advance(Math.min(STEP_MS, durationMs - atMs));
    }
  }

  /** Returns the members after a number of records of the log. */
  membersAt(read: number): ShareHost[] {
    const members = new Map<string, ShareHost>();
    for (const {type, ...host} of this.events.slice(0, read)) {
      if (type === 'join') members.set(host.host, host);
      else members.delete(host.host);
    }
    return [...members.values()];
  }

  /** Returns whether the other members of its zone know that a host joined. */
  isKnownToZone({host, zone, incarnation}: ShareHost): boolean {
    const at = this.events.findIndex(
      event => event.type === 'join' && event.incarnation === incarnation,
    );
    return this.membersAt(this.events.length).every(member => {
      if (member.zone !== zone || member.host === host) return true;
      const view = this.hosts.get(member.host)?.view;
      return view !== undefined && view.recordsRead > at;
    });
  }

  private read(view: WorldView): void {
    view.recordsRead = this.events.length;
    view.version = this.configs.length - 1;
  }

  private async generate(
    permit: PoolPermit,
    tokens: number,
    holdMs: number,
    admission: TokenCount,
    signal: AbortSignal,
  ): Promise<void> {
    for (let step = 1; step <= GENERATION_STEPS; step++) {
      await this.clock.sleep(holdMs / GENERATION_STEPS, signal);
      if (signal.aborted) return;
      const stepTokens = tokens / GENERATION_STEPS;
      permit.use(stepTokens * step);
      admission.tokens += stepTokens;
      this.generated.push({atMs: this.clock.now(), tokens: stepTokens});
    }
    permit.settle(tokens);
  }
}

/**
 * Computes the largest burst in a series of token counts.
 *
 * @param counts - token counts, in any order.
 * @param rate - tokens per second.
 * @returns maximum over all windows of the tokens beyond `rate * window`.
 */
export function largestBurst(
  counts: readonly TokenCount[],
  rate: number,
): number {
  let largest = 0;
  let running = 0;
  let lastMs = 0;
  const ordered = [...counts].sort((a, b) => a.atMs - b.atMs);
  for (const {atMs, tokens} of ordered) {
    const refilled = (rate * (atMs - lastMs)) / 1_000;
    running = Math.max(0, running - refilled) + tokens;
    lastMs = atMs;
    largest = Math.max(largest, running);
  }
  return largest;
}
