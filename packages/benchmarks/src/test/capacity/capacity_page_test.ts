import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {CAPACITY_PAGE, RESULTS_FOLDER} from '../../lib/capacity/paths.js';
import {fillTables} from '../../lib/capacity/capacity_page.js';
import {CAPACITY_TABLES} from '../../lib/capacity/capacity_tables.js';
import {StoredResults} from '../../lib/capacity/results.js';

describe('docs/CAPACITY.md', () => {
  it('shows the stored results (npm run capacity rewrites it)', async () => {
    const results = await StoredResults.read(RESULTS_FOLDER);
    const page = await readFile(CAPACITY_PAGE, 'utf8');
    expect(page).to.equal(fillTables(page, results));
  });

  it('contains every table', async () => {
    const page = await readFile(CAPACITY_PAGE, 'utf8');
    for (const name of Object.keys(CAPACITY_TABLES)) {
      expect(page).to.contain(`<!-- table: ${name} -->`);
    }
  });
});
