/** A team over its rate at many hosts, without a network, for tests. @packageDocumentation */

import {Admission} from '../../lib/gateway/admission.js';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {Freshness} from '../../lib/gateway/freshness.js';
import {
  Loan,
  LoanRequest,
  TeamQuotas,
  TokenLoanClient,
} from '../../lib/gateway/team_quotas.js';
import {TokenLender} from '../../lib/residency/token_lender.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {deploymentOf, routeRule, teamConfig} from './gateway_fixtures.js';
import {FakeCaller} from './relay_fixtures.js';

export const HOSTS = 70;
export const RATE = 20_000;
export const BURST = 20_000;

/** The users' bound on the tokens of a window. */
export const WINDOW_MS = 8_000;
export const MAX_WINDOW_TOKENS = (RATE * 8 + BURST) * 1.1 + 7_400;

/** The users' request classes. */
export const CLASS = {
  urgent: {path: '/urgent', objectiveMs: 500, deadlineMs: 12_000},
  hurried: {path: '/urgent', objectiveMs: 500, deadlineMs: 4_000},
  patient: {path: '/patient', objectiveMs: 5_000, deadlineMs: 25_000},
};

export type RequestClass = keyof typeof CLASS;

/** Time of a message between two hosts. */
const ONE_WAY_MS = 2;

const STEP_MS = 10;
const WARM_UP_MS = 2_000;
const MIN_TOKENS = 200;
const MAX_TOKENS = 1_400;

/** What one caller got. */
export interface Call {
  kind: RequestClass;
  tokens: number;
  beganMs: number;
  /** Time at which it was admitted; undefined if it was not. */
  admittedMs?: number;
  /** Index of the host that it reached last. */
  host?: number;
  /** Times at which it was told to return, one for each refusal. */
  told: number[];
}

/** Hosts that share one rate, and the callers of its team. */
export class RateBurstWorld {
  readonly clock = new ManualClock();
  readonly quotas: TeamQuotas[] = [];
  readonly calls: Call[] = [];
  readonly lender: TokenLender;
  isReached = true;
  /** Hosts that have ended, by their index; the last calls there get nothing. */
  readonly vanished = new Set<number>();
  private readonly admissions: Admission[] = [];
  private readonly random: Random;
  private pending = 0;

  constructor(seed: number) {
    this.random = new Random(seed);
    const {clock} = this;
    const state = new DeploymentState();
    const routes = (['urgent', 'patient'] as const).map(name =>
      routeRule({
        name,
        pathPrefix: `/${name}/`,
        objectiveMs: CLASS[name].objectiveMs,
        timeoutMs: CLASS[name].deadlineMs,
      }),
    );
    const team = teamConfig({tokensPerSecond: RATE, burstTokens: BURST});
    state.applyIfNewer(deploymentOf(routes, [team]));
    const freshness = new Freshness(clock, 1e9);
    freshness.confirm(0);
    this.lender = new TokenLender(clock, state, WINDOW_MS);
    this.lender.restart();
    const slack = {fraction: 0.1, tokens: 7_400, windowMs: WINDOW_MS};
    for (let i = 0; i < HOSTS; i++) {
      const quotas = new TeamQuotas(clock, new DelayedSource(this, i), slack);
      this.quotas.push(quotas);
      const parts = {clock, state, freshness, quotas};
      this.admissions.push(new Admission(parts));
    }
  }

  /** Runs until all callers of hosts that remain are done. */
  async finish(): Promise<void> {
    const lost = this.calls.filter(call => this.isLost(call)).length;
    while (this.pending > lost) await this.clock.advance(STEP_MS);
  }

  /** Whether a call was waiting at a host that has vanished. */
  isLost({admittedMs, host}: Call): boolean {
    return admittedMs === undefined && this.vanished.has(host ?? -1);
  }

  /** Sends requests of several classes for a time, by multiples of the rate. */
  async burst(
    load: Partial<Record<RequestClass, number>>,
    durationMs: number,
    onStep: (atMs: number) => void = () => {},
  ): Promise<void> {
    if (this.clock.now() === 0) await this.clock.advance(WARM_UP_MS);
    const beganMs = this.clock.now();
    const due = Object.entries(load).map(([kind, factor]) => ({
      kind: kind as RequestClass,
      factor,
      tokens: 0,
    }));
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      onStep(atMs);
      for (const share of due) {
        share.tokens += (share.factor * RATE * STEP_MS) / 1_000;
        while (share.tokens > 0) share.tokens -= this.start(share.kind);
      }
      await this.clock.advance(beganMs + atMs + STEP_MS - this.clock.now());
    }
  }

  /** Maximum of the tokens admitted in any window. */
  get maxWindowTokens(): number {
    const admitted = this.calls.flatMap(({admittedMs, tokens}) =>
      admittedMs === undefined ? [] : [{admittedMs, tokens}],
    );
    const sums = admitted.map(({admittedMs: fromMs}) =>
      admitted
        .filter(
          ({admittedMs}) =>
            admittedMs >= fromMs && admittedMs < fromMs + WINDOW_MS,
        )
        .reduce((sum, {tokens}) => sum + tokens, 0),
    );
    return Math.max(0, ...sums);
  }

  private chooseHost(): number {
    for (;;) {
      const host = Math.floor(this.random.float() * HOSTS);
      if (!this.vanished.has(host)) return host;
    }
  }

  private start(kind: RequestClass): number {
    const span = MAX_TOKENS - MIN_TOKENS;
    const tokens = MIN_TOKENS + Math.floor(this.random.float() * span);
    const beganMs = this.clock.now();
    const call: Call = {kind, tokens, beganMs, told: []};
    this.calls.push(call);
    this.pending += 1;
    void this.run(call, `body ${this.calls.length}`).then(
      () => (this.pending -= 1),
    );
    return tokens;
  }

  /** Retries once, after the time that it was told or a third of its time. */
  private async run(call: Call, body: string): Promise<void> {
    const {clock} = this;
    const {path, deadlineMs} = CLASS[call.kind];
    for (let attempt = 0; attempt < 2; attempt++) {
      const leftMs = call.beganMs + deadlineMs - clock.now();
      const req = new FakeCaller(clock, body);
      req.path = `${path}/x`;
      req.tokens = {prompt: call.tokens, output: 0};
      req.timeoutMs = leftMs;
      const host = this.chooseHost();
      call.host = host;
      const admitted = await this.admissions[host].admit(req);
      if (admitted.isOk()) {
        call.admittedMs = clock.now();
        return;
      }
      const retryMs = admitted.error.refusal.retryAfterMs ?? Infinity;
      call.told.push(clock.now() + retryMs);
      const left = call.beganMs + deadlineMs - clock.now();
      await clock.sleep(Math.min(retryMs, left / 3));
    }
  }
}

/** Reaches the lender of a world after the time of a message. */
class DelayedSource extends TokenLoanClient {
  override readonly hostCount = HOSTS;

  constructor(
    private readonly world: RateBurstWorld,
    private readonly host: number,
  ) {
    super();
  }

  override async borrow(request: LoanRequest): Promise<Loan | undefined> {
    const {clock, lender} = this.world;
    if (this.world.vanished.has(this.host)) return new Promise(() => {});
    if (!this.world.isReached) return undefined;
    await clock.sleep(ONE_WAY_MS);
    const loan = lender.lend(request);
    await clock.sleep(ONE_WAY_MS);
    return loan;
  }
}
