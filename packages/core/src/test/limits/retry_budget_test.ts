import {expect} from 'chai';
import fc from 'fast-check';
import {RETRIES_PER_REQUEST, RetryBudget} from '../../index.js';

describe('RetryBudget', () => {
  it('limits retries to a tenth of the requests in any order', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), steps => {
        const budget = new RetryBudget();
        let requests = 0;
        let retries = 0;
        for (const isRequest of steps) {
          if (isRequest) {
            requests += 1;
            budget.recordRequest();
          } else if (budget.tryRetry()) retries += 1;
          expect(retries).to.be.at.most(requests * RETRIES_PER_REQUEST + 1e-9);
        }
      }),
      {seed: 5},
    );
  });

  it('grants retries up to a tenth of the requests', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.recordRequest();
      if (budget.tryRetry()) retries += 1;
    }
    expect(retries).to.be.at.least(98);
  });

  it('neither grants nor accumulates retries under overload', () => {
    let overloaded = false;
    const budget = new RetryBudget(() => overloaded);
    for (let i = 0; i < 30; i++) budget.recordRequest();
    overloaded = true;
    expect(budget.tryRetry()).to.equal(false);
    for (let i = 0; i < 1_000; i++) budget.recordRequest();
    overloaded = false;
    const granted = [1, 2, 3, 4, 5].filter(() => budget.tryRetry()).length;
    expect(granted).to.be.at.most(3);
  });
});
