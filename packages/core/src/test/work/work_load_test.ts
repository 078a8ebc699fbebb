import {expect} from 'chai';
import {playLoad} from './load_play.js';

const DURATION_MS = 12_000;

/**
 * Requests at a target, as a multiple of its slots: those that queue have to
 * begin within the objective of 400 ms, in which 16 slots with runs of 930 ms
 * begin 6.9 requests.
 */
const MAX_LOAD = 1 + 400 / 930;

/** Deviation of a target's work from its part by pace that still counts as even. */
const MAX_DEVIATION = 0.2;

describe('choice among targets of different pace', () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    it(`gives each target work in proportion to its pace, seed ${seed}`, async () => {
      const {relativeWork} = await playLoad(true, DURATION_MS, seed);
      for (const relative of relativeWork)
        expect(relative).to.be.within(1 - MAX_DEVIATION, 1 + MAX_DEVIATION);
    });

    it(`queues little at any target, seed ${seed}`, async () => {
      const {maxLoad} = await playLoad(true, DURATION_MS, seed);
      expect(maxLoad).to.be.at.most(MAX_LOAD);
    });
  }
});
