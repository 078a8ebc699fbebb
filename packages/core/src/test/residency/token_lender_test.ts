import {expect} from 'chai';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {TokenLender} from '../../lib/residency/token_lender.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {deploymentOf, teamConfig} from '../gateway/gateway_fixtures.js';

const WINDOW_MS = 8_000;
const TEAM = teamConfig({tokensPerSecond: 2_000, burstTokens: 8_000});
const STEP_MS = 50;

/** Factor and slack of the platform's bound on used tokens. */
const OVERAGE = 1.1;
const SLACK = 7_400;

interface World {
  clock: ManualClock;
  lender: TokenLender;
}

function lenderWorld(): World {
  const clock = new ManualClock();
  const state = new DeploymentState();
  state.applyIfNewer(deploymentOf([], [TEAM]));
  const lender = new TokenLender(clock, state, WINDOW_MS);
  lender.restart();
  return {clock, lender};
}

function lend({lender}: World, tokens: number): number {
  const request = {team: TEAM.name, neededTokens: tokens, wantedTokens: tokens};
  return lender.lend(request).tokens;
}

describe('TokenLender after a change of the lease holder', () => {
  it('lends at once the tokens that hosts have not used in the window', () => {
    const world = lenderWorld();
    expect(lend(world, 700)).to.equal(0);
    for (let i = 0; i < 9; i++) {
      world.lender.recordUsed(`h${i}`, [[TEAM.name, 1_000]], 9);
    }
    expect(lend(world, 700)).to.equal(700);
  });

  it('waits for reports of nearly all hosts, and counts each host once', () => {
    const world = lenderWorld();
    for (let i = 0; i < 100; i++) world.lender.recordUsed('h1', [], 9);
    expect(lend(world, 700)).to.equal(0);
  });

  for (const hosts of [9, 81, 195]) {
    it(`keeps every window within the bound with ${hosts} hosts`, async () => {
      const {clock, lender} = lenderWorld();
      const world = {clock, lender};
      const lent: number[] = [];
      const recent = () =>
        lent.slice(-WINDOW_MS / STEP_MS).reduce((a, b) => a + b, 0);
      for (let step = 0; step < 1_200; step++) {
        // A new lender every three seconds; the hosts report what they used.
        if (step % 60 === 59) {
          const used = recent() / hosts;
          lender.restart();
          for (let i = 0; i < hosts; i++) {
            lender.recordUsed(`h${i}`, [[TEAM.name, used]], hosts);
          }
        }
        let granted = 0;
        for (let i = 0; i < 20; i++) granted += lend(world, 500);
        lent.push(granted);
        await clock.advance(STEP_MS);
        const {burstTokens, tokensPerSecond} = TEAM;
        const inWindow = (tokensPerSecond * WINDOW_MS) / 1_000 + burstTokens;
        expect(recent()).to.be.at.most(inWindow * OVERAGE + SLACK);
      }
      const perSecond =
        lent.reduce((a, b) => a + b) / (1_200 * (STEP_MS / 1e3));
      expect(perSecond).to.be.above(TEAM.tokensPerSecond * 0.95);
    });
  }
});
