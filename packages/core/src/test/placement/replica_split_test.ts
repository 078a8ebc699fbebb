import {expect} from 'chai';
import fc from 'fast-check';
import {splitByWeight} from '../../index.js';

describe('splitByWeight', () => {
  const zones = fc.uniqueArray(
    fc.record({
      zone: fc.stringMatching(/^[a-z]{1,4}$/),
      weight: fc.double({min: 0.01, max: 100, noNaN: true}),
    }),
    {selector: ({zone}) => zone, minLength: 1, maxLength: 22},
  );

  it('splits into counts that add up to the total', () => {
    fc.assert(
      fc.property(zones, fc.integer({min: 0, max: 60}), (all, count) => {
        const parts = [...splitByWeight(count, all, 'drafter').values()];
        expect(parts.reduce((sum, part) => sum + part, 0)).to.equal(count);
        expect(Math.min(...parts)).to.be.at.least(0);
      }),
    );
  });

  it('gives the same counts for any order of the zones', () => {
    fc.assert(
      fc.property(zones, fc.integer({min: 0, max: 60}), (all, count) => {
        const parts = splitByWeight(count, all, 'drafter');
        const other = splitByWeight(count, [...all].reverse(), 'drafter');
        expect(new Map([...other].sort())).to.deep.equal(
          new Map([...parts].sort()),
        );
      }),
    );
  });

  it('spreads single replicas over zones by weight', () => {
    const weighted = [
      {zone: 'a', weight: 1},
      {zone: 'b', weight: 3},
    ];
    let inB = 0;
    for (let model = 0; model < 1_000; model++) {
      inB += splitByWeight(1, weighted, `model-${model}`).get('b')!;
    }
    expect(inB / 1_000).to.be.closeTo(0.75, 0.06);
  });
});
