/** Simulates one run for a user, a scenario and a policy. @packageDocumentation */

import {ManualClock, Random} from '@fuchsiacleat/core';
import {BenchFleet, BenchHost, BenchPermit, Policy} from './bench_fleet.js';
import {BenchTeam, BenchUser, Scenario} from './limit_scenario.js';

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 60_000;
const FAULT_START_MS = WARM_UP_MS + 15_000;
const FAULT_END_MS = WARM_UP_MS + 45_000;

/** Delay until the platform's host list shows the loss of a host, in milliseconds. */
const HOST_LIST_LAG_MS = 10_000;
const STEP_MS = 100;
const MOVE_INTERVAL_MS = 3_000;
const DEADLINE_MS = 10_000;
const MEAN_TOKENS = 250;
const MIN_HOLD_MS = 500;
const MAX_EXTRA_HOLD_MS = 2_000;
const MIN_USED_FRACTION = 0.6;

/** Fraction of a team's requests that the load balancer sends to its usual host. */
const STICKY_FRACTION = 0.4;

/** Number of steps in which the tokens of a request are generated. */
const GENERATION_STEPS = 4;

/** A request and its outcome. */
export interface RequestRecord {
  team: string;
  zone: string;
  arrivedMs: number;
  /** Tokens that the request uses if it is served. */
  tokens: number;
  /** Tokens that the request reserves. */
  reserved: number;
  /** Undefined if the request was lost with its host. */
  wasServed: boolean | undefined;
  /** Time until the reservation was granted or refused, in milliseconds. */
  waitedMs: number;
  generated: Array<{atMs: number; tokens: number}>;
}

/** Result of a run. */
export interface LimitRunResult {
  records: RequestRecord[];
  cutZone: string | undefined;
  faultMs: {from: number; to: number};
  measuredMs: {from: number; to: number};
  /** Bytes per second sent by the host with the most traffic. */
  worstBytesPerSecond: number;
}

/** Sends requests to a fleet on a manual clock. */
export class LimitRun {
  private readonly clock = new ManualClock();
  /** One generator per team, so that a scenario does not change other teams' load. */
  private readonly randoms: ReadonlyMap<string, Random>;
  private readonly fleet: BenchFleet;
  private readonly records: RequestRecord[] = [];
  private readonly zones: string[];
  private cutZone: string | undefined;

  constructor(
    private readonly user: BenchUser,
    private readonly scenario: Scenario,
    policy: Policy,
    seed: number,
  ) {
    this.randoms = new Map(
      user.teams.map(({name}, index) => [name, new Random(seed * 100 + index)]),
    );
    const {clock} = this;
    this.fleet = new BenchFleet(user, policy, clock, new Random(seed));
    this.zones = Object.keys(user.hosts);
  }

  /** Runs the simulation to its end. */
  async run(): Promise<LimitRunResult> {
    this.scheduleFaults();
    const endMs = WARM_UP_MS + MEASURED_MS;
    for (const team of this.user.teams) void this.sendArrivals(team, endMs);
    const runMs = endMs + DEADLINE_MS + MIN_HOLD_MS + MAX_EXTRA_HOLD_MS;
    for (let atMs = 0; atMs < runMs; atMs += STEP_MS) {
      await this.clock.advance(STEP_MS);
    }
    for (const {abort} of this.fleet.hosts) abort.abort();
    const sent = Math.max(0, ...this.fleet.sentBytes.values());
    return {
      records: this.records,
      cutZone: this.cutZone,
      faultMs: {from: FAULT_START_MS, to: FAULT_END_MS},
      measuredMs: {from: WARM_UP_MS, to: endMs},
      worstBytesPerSecond: (sent / runMs) * MS_PER_SECOND,
    };
  }

  private scheduleFaults(): void {
    const {cutsZone, killsHost, isLogDown} = this.scenario;
    const {clock, fleet, zones} = this;
    if (cutsZone) {
      clock.after(FAULT_START_MS, () => {
        const cut = zones[1];
        this.cutZone = cut;
        fleet.hub.isPartitioned = (a, b) =>
          a.zone !== b.zone && (a.zone === cut || b.zone === cut);
      });
      clock.after(FAULT_END_MS, () => (fleet.hub.isPartitioned = () => false));
    }
    if (!killsHost) return;
    const [victim] = fleet.hosts;
    clock.after(FAULT_START_MS, () => fleet.kill(victim));
    if (isLogDown) return;
    const removedMs = FAULT_START_MS + HOST_LIST_LAG_MS;
    clock.after(removedMs, () => fleet.remove(victim));
  }

  /** Sends requests of a team with Poisson arrivals. */
  private async sendArrivals(team: BenchTeam, endMs: number): Promise<void> {
    const {clock, scenario} = this;
    const random = this.randoms.get(team.name)!;
    const isGreedy = scenario.greedy !== undefined && this.isLargest(team);
    const load = isGreedy ? scenario.greedy! : scenario.load;
    const perSecond = (team.rate * load) / MEAN_TOKENS;
    for (;;) {
      const gapMs = (-Math.log(1 - random.float()) / perSecond) * MS_PER_SECOND;
      await clock.sleep(gapMs);
      if (clock.now() >= endMs) return;
      void this.request(team, this.hostFor(team, isGreedy));
    }
  }

  private async request(team: BenchTeam, host: BenchHost): Promise<void> {
    const {clock} = this;
    const random = this.randoms.get(team.name)!;
    const tokens = MEAN_TOKENS * (0.5 + random.float());
    const usedFraction =
      MIN_USED_FRACTION + (1 - MIN_USED_FRACTION) * random.float();
    // The offered load counts used tokens; the reservation is larger.
    const reserved = tokens / usedFraction;
    const holdMs = MIN_HOLD_MS + MAX_EXTRA_HOLD_MS * random.float();
    const arrivedMs = clock.now();
    const record: RequestRecord = {
      team: team.name,
      zone: host.identity.zone,
      arrivedMs,
      tokens,
      reserved,
      wasServed: undefined,
      waitedMs: 0,
      generated: [],
    };
    this.records.push(record);
    const deadlineMs = arrivedMs + DEADLINE_MS;
    const permit = await host.reserve(team, reserved, deadlineMs);
    record.waitedMs = clock.now() - arrivedMs;
    if (host.abort.signal.aborted) return;
    if (permit === undefined) record.wasServed = false;
    else await this.serve(host, permit, record, holdMs, deadlineMs);
  }

  private async serve(
    host: BenchHost,
    permit: BenchPermit,
    record: RequestRecord,
    holdMs: number,
    deadlineMs: number,
  ): Promise<void> {
    const {clock} = this;
    const {signal} = host.abort;
    const {team, tokens} = record;
    const demand = {requestId: '', model: 'm', adapter: undefined};
    const slot = this.scenario.queued
      ? await host.queue.acquire({...demand, team, tokens, deadlineMs}, signal)
      : undefined;
    if (slot?.isErr()) {
      record.wasServed = false;
      permit.settle(0);
      return;
    }
    for (let step = 0; step < GENERATION_STEPS; step++) {
      await clock.sleep(holdMs / GENERATION_STEPS, signal);
      if (signal.aborted) return;
      const part = tokens / GENERATION_STEPS;
      record.generated.push({atMs: clock.now(), tokens: part});
    }
    slot?._unsafeUnwrap().release();
    permit.settle(tokens);
    record.wasServed = true;
  }

  private hostFor(team: BenchTeam, isGreedy: boolean): BenchHost {
    const {clock} = this;
    const random = this.randoms.get(team.name)!;
    const live = this.fleet.hosts.filter(({abort}) => !abort.signal.aborted);
    const {greedyAt = 'all'} = this.scenario;
    if (isGreedy && greedyAt === 'one') return live[0];
    if (isGreedy && greedyAt === 'moving') {
      return live[Math.floor(clock.now() / MOVE_INTERVAL_MS) % live.length];
    }
    const usual = this.user.teams.indexOf(team) % live.length;
    return random.float() < STICKY_FRACTION ? live[usual] : random.pick(live);
  }

  private isLargest(team: BenchTeam): boolean {
    return this.user.teams.every(other => other.rate <= team.rate);
  }
}
