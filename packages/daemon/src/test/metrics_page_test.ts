import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {metricsPage, metricsPagePath} from '../lib/metrics_page.js';

describe('metrics page', () => {
  it('matches the committed page; "npm run docs" regenerates it', async () => {
    const page = await readFile(metricsPagePath(), 'utf8');
    expect(page).to.equal(metricsPage());
  });

  it('lists each metric with its labels', () => {
    const row =
      /^\| `fuchsiacleat_gateway_target_sends_total` \| counter \| target, end \|/m;
    expect(metricsPage()).to.match(row);
  });
});
