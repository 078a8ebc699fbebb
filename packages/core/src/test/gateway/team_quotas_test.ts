import {expect} from 'chai';
import fc from 'fast-check';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {
  Loan,
  LoanRequest,
  TeamQuotas,
  TokenLoanClient,
} from '../../lib/gateway/team_quotas.js';
import {TokenLender} from '../../lib/residency/token_lender.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {TeamConfig} from '../../lib/gateway/deployment.js';
import {deploymentOf, teamConfig} from './gateway_fixtures.js';

const SLACK = {fraction: 0.1, tokens: 7_400, windowMs: 8_000};
const HOSTS = 9;
const STEP_MS = 50;

/** Number of tokens of each request. */
const TOKENS = 900;

/** Borrows from a lender that can be unreachable. */
class SwitchedSource extends TokenLoanClient {
  override readonly hostCount = HOSTS;

  constructor(
    private readonly lender: TokenLender,
    private readonly world: {isReached: boolean},
  ) {
    super();
  }

  override async borrow(request: LoanRequest): Promise<Loan | undefined> {
    return this.world.isReached ? this.lender.lend(request) : undefined;
  }
}

interface World {
  clock: ManualClock;
  lender: TokenLender;
  isReached: boolean;
  hosts: TeamQuotas[];
}

function makeWorld(rate: number): World {
  const clock = new ManualClock();
  const state = new DeploymentState();
  const team = teamConfig({tokensPerSecond: rate, burstTokens: rate});
  state.applyIfNewer(deploymentOf([], [team]));
  const lender = new TokenLender(clock, state, SLACK.windowMs);
  const world: World = {clock, lender, isReached: true, hosts: []};
  for (let i = 0; i < HOSTS; i++) {
    const source = new SwitchedSource(lender, world);
    world.hosts.push(new TeamQuotas(clock, source, SLACK));
  }
  return world;
}

/** Returns the maximum of the tokens granted in any window of the slack. */
function maxInWindow(grants: Array<[ms: number, tokens: number]>): number {
  let maxTokens = 0;
  for (const [fromMs] of grants) {
    let sum = 0;
    for (const [ms, tokens] of grants) {
      if (ms >= fromMs && ms <= fromMs + SLACK.windowMs) sum += tokens;
    }
    maxTokens = Math.max(maxTokens, sum);
  }
  return maxTokens;
}

const {signal} = new AbortController();

/** Takes the tokens of a request and returns whether they were granted. */
async function tryRequest(
  world: World,
  host: TeamQuotas,
  team: TeamConfig,
): Promise<boolean> {
  let isDone = false;
  const taken = host
    .take(team, TOKENS, 0, signal)
    .finally(() => (isDone = true));
  await world.clock.advance(0);
  while (!isDone) await world.clock.advance(STEP_MS);
  return (await taken) === undefined;
}

describe('TeamQuotas', () => {
  it('reports no usage before it has counted a whole window', async () => {
    const world = makeWorld(4_000);
    const [host] = world.hosts;
    const team = teamConfig({tokensPerSecond: 4_000, burstTokens: 4_000});
    world.lender.restart();
    await world.clock.advance(4_000);
    expect(await tryRequest(world, host, team)).to.equal(true);
    // An earlier process of this host may have used tokens in this window.
    expect(host.usedTokens()).to.equal(undefined);
    await world.clock.advance(4_000);
    const [[name, tokens]] = host.usedTokens()!;
    expect(name).to.equal(team.name);
    expect(tokens).to.be.at.least(TOKENS);
  });

  it('refuses no request of a team with a small rate within that rate', async () => {
    const rate = 2_000;
    const world = makeWorld(rate);
    const team = teamConfig({tokensPerSecond: rate, burstTokens: rate});
    world.lender.restart();
    await world.clock.advance(1_000);
    let refused = 0;
    for (let i = 0; i < 100; i++) {
      const host = world.hosts[(i * 7) % HOSTS];
      const retryAfter = await host.take(team, 900, 0, signal);
      if (retryAfter !== undefined) refused += 1;
      await world.clock.advance(500);
    }
    expect(refused).to.equal(0);
  });

  it('returns the time after which a refused request can be granted', async () => {
    const rate = 1_000;
    const world = makeWorld(rate);
    const team = teamConfig({tokensPerSecond: rate, burstTokens: rate});
    world.lender.restart();
    const [host] = world.hosts;
    const retryAfterMs = await host.take(team, 800, 0, signal);
    expect(retryAfterMs).to.equal(800);
    await world.clock.advance(retryAfterMs!);
    expect(await host.take(team, 800, 0, signal)).to.equal(undefined);
  });

  it('lets requests with time left wait for the next lender and refuses others', async () => {
    const rate = 2_000;
    const world = makeWorld(rate);
    const team = teamConfig({tokensPerSecond: rate, burstTokens: rate});
    world.isReached = false;
    const [host] = world.hosts;
    world.lender.restart();
    const beganMs = world.clock.now();
    const hurried = await host.take(team, TOKENS, 0, signal);
    expect(hurried).to.be.within(1, 1_500);
    expect(world.clock.now()).to.equal(beganMs);
    const patient = host.take(team, TOKENS, 1_000, signal);
    await world.clock.advance(700);
    world.isReached = true;
    await world.clock.advance(STEP_MS);
    expect(await patient).to.equal(undefined);
  });

  it('keeps every window within its limit while lenders change', async () => {
    const rates = fc.constantFrom(2_000, 12_000, 49_000);
    const changes = fc.array(fc.integer({min: 400, max: 6_000}), {
      minLength: 1,
      maxLength: 6,
    });
    await fc.assert(
      fc.asyncProperty(rates, changes, async (rate, periods) => {
        const world = makeWorld(rate);
        const team = teamConfig({tokensPerSecond: rate, burstTokens: rate});
        world.lender.restart();
        await world.clock.advance(1_000);
        const grants: Array<[number, number]> = [];
        for (const periodMs of periods) {
          const endMs = world.clock.now() + periodMs;
          while (world.clock.now() < endMs) {
            for (const host of world.hosts) {
              const isGranted = await tryRequest(world, host, team);
              if (isGranted) grants.push([world.clock.now(), TOKENS]);
            }
            await world.clock.advance(STEP_MS);
          }
          world.isReached = !world.isReached;
          // A new lender does not know the loans of its predecessor.
          if (world.isReached) world.lender.restart();
        }
        const allowed = rate * 9 * (1 + SLACK.fraction) + SLACK.tokens;
        expect(maxInWindow(grants)).to.be.at.most(allowed);
      }),
      {numRuns: 12},
    );
  });
});
