import {expect} from 'chai';
import {runAnswers} from '../lib/answers_run.js';

const DURATION_MS = 6_000;
const MIN_REQUESTS = 500;

describe('runAnswers', () => {
  it('finds no answer that looks complete and is not the whole answer of a worker', async () => {
    const options = {seed: 1, durationMs: DURATION_MS, processes: 2};
    const {requests, violations} = await runAnswers(options);
    expect(violations).to.deep.equal([]);
    expect(requests).to.be.above(MIN_REQUESTS);
  });
});
