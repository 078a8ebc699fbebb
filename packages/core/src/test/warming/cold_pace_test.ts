import {expect} from 'chai';
import fc from 'fast-check';
import {
  DEFAULT_COLD_BOUNDS,
  coldBound,
  lentPerSecond,
  maySendAlone,
} from '../../lib/warming/cold_pace.js';

describe('The rate lent to a cold target', () => {
  it('leaves room for a second lender, delayed sends and hosts alone', () => {
    const perSecond = fc.double({min: 0.5, max: 200, noNaN: true});
    const hosts = fc.integer({min: 1, max: 400});
    fc.assert(
      fc.property(perSecond, hosts, (rate, hostCount) => {
        const bounds = DEFAULT_COLD_BOUNDS;
        const lent = lentPerSecond(rate, bounds, hostCount);
        // A second contains at most what is granted for 1.25 s, and one more.
        const fromLender = Math.floor(lent * 1.25) + 1;
        const alone = maySendAlone(rate, bounds, hostCount) ? hostCount : 0;
        const bound = coldBound(rate, bounds);
        expect(2 * fromLender + alone).to.be.at.most(bound);
        expect(lent).to.be.within(0, rate);
      }),
    );
  });

  it('is more than half of the usual rate', () => {
    expect(lentPerSecond(13, DEFAULT_COLD_BOUNDS, 63)).to.be.above(6.5);
    expect(lentPerSecond(13, DEFAULT_COLD_BOUNDS, 3)).to.be.above(6.5);
  });
});
