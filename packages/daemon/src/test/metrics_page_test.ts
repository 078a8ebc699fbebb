import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {metricsPage, metricsPagePath} from '../lib/metrics_page.js';

describe('the metrics', () => {
  it('are described by their page; "npm run docs" rewrites it', async () => {
    const page = await readFile(metricsPagePath(), 'utf8');
    expect(page).to.equal(metricsPage());
  });

  it('stand on the page with their labels', () => {
    const row =
      /^\| `fuchsiacleat_gateway_target_sends_total` \| counter \| target, end \|/m;
    expect(metricsPage()).to.match(row);
  });
});
