import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';
import {expect} from 'chai';
import {plotResults} from '../lib/plot.js';

describe('plotResults', () => {
  it('draws series with the same axes into one plot', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-'));
    const points = [
      {x: 1, y: 2},
      {x: 2, y: 3},
    ];
    const axes = {xLabel: 'hosts', yLabel: 'bytes', points};
    const series = [
      {name: 'control.sent', ...axes},
      {name: 'control.received', ...axes},
      {name: 'control.state', ...axes, yLabel: 'MiB'},
    ];
    const text = JSON.stringify({metrics: [], series});
    await writeFile(join(folder, 'control.json'), text);
    const written = await plotResults(folder);
    const drawn = await readFile(written[0], 'utf8');
    await rm(folder, {recursive: true});
    expect(written.map(path => basename(path))).to.deep.equal([
      'control.sent.svg',
      'control.state.svg',
    ]);
    expect(drawn).to.match(/^<svg/);
    expect(drawn).to.contain('control.received').and.contain('bytes');
  });
});
