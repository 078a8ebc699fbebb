import {expect} from 'chai';
import {WAITER_LIFETIME_MS} from '../../lib/limits/rate_queue.js';
import {
  CLASS,
  Call,
  HOSTS,
  MAX_WINDOW_TOKENS,
  RATE,
  RateBurstWorld,
  RequestClass,
} from './rate_burst_world.js';

const BURST_MS = 6_000;
const SEEDS = [1, 2, 3];

/** Delay allowed after the promised time: messages and rounding. */
const PROMISE_LAG_MS = 50;

function ofKind({calls}: RateBurstWorld, kind: RequestClass): Call[] {
  return calls.filter(call => call.kind === kind);
}

function waitedMs({admittedMs, beganMs}: Call): number {
  return (admittedMs ?? Infinity) - beganMs;
}

/** Refused callers whose promised turn leaves them time to return for it. */
function promised({calls}: RateBurstWorld): Call[] {
  return calls.filter(({kind, beganMs, told}) => {
    const turnMs = told[0] - beganMs;
    return told.length > 0 && turnMs < CLASS[kind].deadlineMs * 0.8;
  });
}

for (const seed of SEEDS) {
  describe(`A team over its rate at 70 hosts, seed ${seed}`, () => {
    it('has its urgent requests served in time and patient ones later', async () => {
      const world = new RateBurstWorld(seed);
      await world.burst({urgent: 0.5, hurried: 0.2, patient: 2}, BURST_MS);
      await world.finish();
      const urgent = [...ofKind(world, 'urgent'), ...ofKind(world, 'hurried')];
      const {objectiveMs} = CLASS.urgent;
      expect(urgent.filter(call => waitedMs(call) > objectiveMs)).to.eql([]);
      const patient = ofKind(world, 'patient');
      expect(patient.filter(call => call.admittedMs === undefined)).to.eql([]);
      expect(world.maxWindowTokens).to.be.at.most(MAX_WINDOW_TOKENS);
    });

    it('keeps what refused callers are told, and starves nobody', async () => {
      const world = new RateBurstWorld(seed);
      await world.burst({urgent: 1, hurried: 0.8, patient: 2.5}, BURST_MS);
      await world.finish();
      const returned = promised(world);
      expect(returned.length).to.be.above(100);
      const late = returned.filter(
        ({admittedMs = Infinity, told}) =>
          admittedMs > told[0] + PROMISE_LAG_MS,
      );
      expect(late).to.eql([]);
      // Before the urgent ones end, patient ones have begun to be served.
      const patient = ofKind(world, 'patient');
      const served = patient.filter(call => call.admittedMs !== undefined);
      expect(served.length).to.be.above(patient.length / 2);
      expect(world.maxWindowTokens).to.be.at.most(MAX_WINDOW_TOKENS);
    });

    it('uses its whole rate although some refused callers stay away', async () => {
      const world = new RateBurstWorld(seed);
      await world.burst({hurried: 4}, BURST_MS);
      const endMs = world.clock.now();
      await world.finish();
      const tokens = world.calls
        .filter(({admittedMs = Infinity}) => admittedMs <= endMs)
        .reduce((sum, call) => sum + call.tokens, 0);
      expect(tokens).to.be.above((RATE * BURST_MS * 0.95) / 1_000);
      expect(world.maxWindowTokens).to.be.at.most(MAX_WINDOW_TOKENS);
    });

    it('goes on in order with a new lender', async () => {
      const world = new RateBurstWorld(seed);
      await world.burst({urgent: 0.6, patient: 1.5}, BURST_MS, atMs => {
        if (atMs === 2_000) world.isReached = false;
        if (atMs !== 3_000) return;
        world.isReached = true;
        world.lender.restart();
      });
      await world.finish();
      const unserved = world.calls.filter(
        ({admittedMs}) => admittedMs === undefined,
      );
      expect(unserved).to.eql([]);
      const urgent = ofKind(world, 'urgent').map(waitedMs);
      const patient = ofKind(world, 'patient').map(waitedMs);
      const mean = (values: number[]) =>
        values.reduce((sum, value) => sum + value, 0) / values.length;
      expect(mean(urgent)).to.be.below(mean(patient) / 2);
      expect(world.maxWindowTokens).to.be.at.most(MAX_WINDOW_TOKENS);
    });

    it('gives the turns of hosts that vanished to others', async () => {
      const world = new RateBurstWorld(seed);
      await world.burst({urgent: 0.5, patient: 2}, BURST_MS, atMs => {
        if (atMs !== 4_000) return;
        for (let host = 0; host < HOSTS / 2; host++) world.vanished.add(host);
      });
      expect(world.calls.filter(call => world.isLost(call)).length).to.be.above(
        50,
      );
      await world.finish();
      const rest = world.calls.filter(call => !world.isLost(call));
      expect(rest.filter(call => call.admittedMs === undefined)).to.eql([]);
      // The others are served sooner than if the lost ones had kept their turns.
      const tokens = rest.reduce((sum, call) => sum + call.tokens, 0);
      const lastMs = Math.max(...rest.map(call => call.admittedMs ?? Infinity));
      const neededMs = (tokens / RATE) * 1_000 + WAITER_LIFETIME_MS;
      expect(lastMs - world.calls[0].beganMs).to.be.below(neededMs);
      expect(world.maxWindowTokens).to.be.at.most(MAX_WINDOW_TOKENS);
    });
  });
}
