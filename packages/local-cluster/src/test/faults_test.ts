import {expect} from 'chai';
import {runFaults} from '../lib/faults/fault_run.js';
import {formatVerdict, isKept} from '../lib/faults/promise_checks.js';

const SEED = 3;
const DURATION_MS = 120_000;
const TIMEOUT_MS = 300_000;

describe('mixed faults', () => {
  it(`keep every promise, seed ${SEED}`, async function () {
    this.timeout(TIMEOUT_MS);
    const result = await runFaults({seed: SEED, durationMs: DURATION_MS});
    const broken = result.verdicts.filter(verdict => !isKept(verdict));
    expect(broken.map(formatVerdict), `seed ${SEED}`).to.deep.equal([]);
  });
});
