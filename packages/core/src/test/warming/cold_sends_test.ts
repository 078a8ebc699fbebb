import {expect} from 'chai';
import fc from 'fast-check';
import {targetRegistration} from '../gateway/gateway_fixtures.js';
import {mostInWindow} from '../target_limits/limit_bound.js';
import {LimitsHost, LimitsWorld} from '../target_limits/limits_world.js';

const COLD = {coldMs: 3_000, perSecond: 13};
const WINDOW_MS = 1_000;

/** Most requests in a second: 1.5 times the rate, and 5. */
const BOUND = 24.5;

/** Time between the return of a target and the last host that knows of it. */
const MAX_LEARN_MS = 1_700;
const ASK_MS = 40;
const STEP_MS = 50;

/** How a host learns that a target is back. */
const LEARNT_BY = ['zone', 'process', 'registration'] as const;
type LearntBy = (typeof LEARNT_BY)[number];

interface Return {
  world: LimitsWorld;
  returnedMs: number;
}

/** Which hosts take themselves for the lending one from a time on. */
interface LenderChange {
  atMs: number;
  lending: number | undefined;
  other: number | undefined;
}

interface Scenario {
  hostCount: number;
  /** Times at which the hosts learn that the target is back, in turn. */
  learnMs: number[];
  by: LearntBy;
  lenders: LenderChange[];
  maxDelayMs: number;
  lossFraction: number;
  maxWriteDelayMs: number;
}

/** Hosts whose targets are warm and then all out of service. */
async function outOfService(hostCount: number): Promise<Return> {
  const world = new LimitsWorld(hostCount);
  await world.clock.advance(COLD.coldMs + 2_000);
  world.cold = COLD;
  for (const host of world.hosts) host.isInService = false;
  return {world, returnedMs: world.clock.now()};
}

function learn(host: LimitsHost, by: LearntBy, {world, returnedMs}: Return) {
  const nowMs = world.clock.now();
  host.isInService = true;
  if (by === 'zone') {
    host.endedMs = nowMs;
    return;
  }
  const leftMs = COLD.coldMs - (nowMs - returnedMs);
  const cold =
    by === 'registration' ? {leftMs: leftMs + 300, ageMs: 3_500} : undefined;
  host.targets.put(targetRegistration({startedMs: 2, cold}), true);
}

/** Lets hosts ask for sends while they learn one after the other. */
async function play(
  back: Return,
  learnMs: readonly number[],
  by: LearntBy,
  onStep: (elapsedMs: number) => void = () => {},
): Promise<void> {
  const {returnedMs, world} = back;
  for (let elapsedMs = 0; elapsedMs < COLD.coldMs; elapsedMs += STEP_MS) {
    onStep(elapsedMs);
    world.hosts.forEach((host, i) => {
      const dueMs = learnMs[i % learnMs.length];
      if (!host.isInService && elapsedMs >= dueMs) learn(host, by, back);
    });
    await world.play(STEP_MS, ASK_MS);
  }
  const endMs = returnedMs + COLD.coldMs;
  const coldArrivals = world.arrivalsMs.filter(ms => ms < endMs);
  world.arrivalsMs.splice(0, Infinity, ...coldArrivals);
}

describe('Sends to cold targets', () => {
  it('stay within the bound whatever happens to the lending host', async function () {
    this.timeout(0);
    const lender: fc.Arbitrary<LenderChange> = fc.record({
      atMs: fc.nat({max: COLD.coldMs}),
      lending: fc.option(fc.nat({max: 8}), {nil: undefined}),
      other: fc.option(fc.nat({max: 8}), {nil: undefined}),
    });
    const scenario: fc.Arbitrary<Scenario> = fc.record({
      hostCount: fc.constantFrom(1, 2, 3, 9, 63),
      learnMs: fc.array(fc.nat({max: MAX_LEARN_MS}), {minLength: 1}),
      by: fc.constantFrom(...LEARNT_BY),
      lenders: fc.array(lender, {maxLength: 4}),
      maxDelayMs: fc.constantFrom(1, 60, 200),
      lossFraction: fc.constantFrom(0, 0.1),
      maxWriteDelayMs: fc.constantFrom(0, 400),
    });
    const check = async (each: Scenario) => {
      const {by, hostCount, learnMs} = each;
      const back = await outOfService(hostCount);
      const {world} = back;
      world.maxWriteDelayMs = each.maxWriteDelayMs;
      const {lossFraction, maxDelayMs} = each;
      Object.assign(world.hub.faults, {lossFraction, maxDelayMs});
      const waiting = [...each.lenders].sort((a, b) => b.atMs - a.atMs);
      await play(back, learnMs, by, elapsedMs => {
        while ((waiting.at(-1)?.atMs ?? Infinity) <= elapsedMs) {
          const next = waiting.pop()!;
          world.lending = next.lending;
          world.otherLending = next.other;
          world.fencing += 1;
        }
      });
      expect(mostInWindow(world.arrivalsMs, WINDOW_MS)).to.be.at.most(BOUND);
    };
    await fc.assert(fc.asyncProperty(scenario, check), {numRuns: 40});
  });

  it('use at least half of the rate when 63 hosts see a zone return', async () => {
    const back = await outOfService(63);
    await play(back, [0, 300, 100], 'zone');
    const {arrivalsMs} = back.world;
    const taken = (COLD.perSecond * COLD.coldMs) / 1_000;
    expect(arrivalsMs.length).to.be.at.least(taken / 2);
    expect(mostInWindow(arrivalsMs, WINDOW_MS)).to.be.at.most(BOUND);
  });

  it('are none without a lending host if one from each host is too many', async () => {
    const back = await outOfService(63);
    back.world.lending = undefined;
    await play(back, [0], 'zone');
    expect(back.world.arrivalsMs).to.have.lengthOf(0);
  });

  it('are shared by few hosts without a lending host', async () => {
    const back = await outOfService(3);
    back.world.lending = undefined;
    await play(back, [0], 'zone');
    expect(back.world.arrivalsMs.length).to.be.within(3, BOUND);
  });

  it('need a new grant once the target is cold or the grant is old', async () => {
    const back = await outOfService(1);
    const {world} = back;
    world.hosts[0].isInService = true;
    const options = {objectiveMs: 400, hasOther: () => false};
    const {signal} = new AbortController();
    const acquire = () => {
      const {sends, target} = world.hosts[0];
      return sends.acquire(target, options, signal);
    };
    const early = await acquire();
    expect(early?.isValid).to.equal(true);
    learn(world.hosts[0], 'zone', back);
    expect(early?.isValid).to.equal(false);
    const granted = acquire();
    await world.clock.advance(0);
    await world.clock.advance(200);
    const late = await granted;
    expect(late?.isValid).to.equal(true);
    await world.clock.advance(251);
    expect(late?.isValid).to.equal(false);
  });

  it('are as before to services that do not declare cold targets', async () => {
    const back = await outOfService(3);
    back.world.cold = undefined;
    await play(back, [0], 'zone');
    expect(mostInWindow(back.world.arrivalsMs, WINDOW_MS)).to.be.above(BOUND);
  });
});
