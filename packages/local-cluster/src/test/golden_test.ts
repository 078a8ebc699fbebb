import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {GOLDEN_FILE, GoldenSession} from '../lib/golden_session.js';

describe('the golden session', () => {
  it('matches the golden file; "npm run golden -- --update" rewrites it', async () => {
    const transcript = await GoldenSession.run();
    const golden = await readFile(GOLDEN_FILE, 'utf8');
    expect(transcript.split('\n')).to.deep.equal(golden.split('\n'));
  });
});
