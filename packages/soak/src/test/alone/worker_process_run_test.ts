import {expect} from 'chai';
import {runWorkerProcesses} from '../../lib/worker_process_run.js';

const DURATION_MS = 15_000;
const MIN_REQUESTS = 200;

describe('runWorkerProcesses', () => {
  it('finds no answer that looks complete and is a part when workers are killed', async () => {
    const options = {seed: 1, durationMs: DURATION_MS, processes: 2};
    const {requests, violations} = await runWorkerProcesses(options);
    expect(violations).to.deep.equal([]);
    expect(requests).to.be.above(MIN_REQUESTS);
  });
});
