import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {EXIT_CODE, formatDeclarations, runTool} from '@fuchsiacleat/cli';
import {RawObject} from '@fuchsiacleat/core';
import {LocalCluster, OPERATOR_TOKEN, sampleDeclarations} from '../index.js';

describe('the command-line tool against a cluster', () => {
  let cluster: LocalCluster;
  let folder: string;
  let objects: RawObject[];

  async function run(...args: string[]) {
    const output: string[] = [];
    const errors: string[] = [];
    const terminal = {
      out: (line: string) => void output.push(line),
      error: (line: string) => void errors.push(line),
    };
    const code = await runTool(args, terminal, {
      FUCHSIACLEAT_HOST: cluster.operatorUrl('a-1'),
      FUCHSIACLEAT_TOKEN: OPERATOR_TOKEN,
    });
    return {code, out: output.join('\n'), output, errors};
  }

  function declare(wanted: RawObject[]): Promise<void> {
    const text = formatDeclarations(0, wanted);
    return writeFile(join(folder, 'all.ini'), text);
  }

  function withWeight(weight: string): RawObject[] {
    return objects.map(object =>
      object.kind === 'team' ? {...object, fields: {weight}} : object,
    );
  }

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-'));
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'a'}],
    });
    objects = [...cluster.platformObjects(), ...sampleDeclarations()];
    await declare(objects);
    const {code} = await run('publish', folder, '-m', 'first');
    expect(code).to.equal(EXIT_CODE.ok);
  });

  afterEach(async () => {
    await cluster.kill();
    await rm(folder, {recursive: true});
  });

  it('prints declarations that parse to the same objects', async () => {
    const {out} = await run('get');
    await writeFile(join(folder, 'all.ini'), out);
    const {code, output} = await run('diff', folder);
    expect(output).to.deep.equal(['no difference to version 1']);
    expect(code).to.equal(EXIT_CODE.ok);
  });

  it('shows one object or reports that it does not exist', async () => {
    const found = await run('get', 'adapter', 'gujarati');
    expect(found.out).to.contain('[adapter "gujarati"]\nmodel = drafter');
    const missing = await run('get', 'adapter', 'none');
    expect(missing.code).to.equal(EXIT_CODE.failed);
    expect(missing.errors[0]).to.contain('does not have adapter "none"');
  });

  it('shows the changes that a publication would make', async () => {
    await declare(withWeight('3'));
    const {code, output} = await run('diff', folder);
    expect(code).to.equal(EXIT_CODE.differs);
    expect(output).to.deep.equal([
      '~ team/inspectors',
      '    + weight = 3',
      '1 changes to version 1',
    ]);
  });

  it('rolls back to the content of an earlier version', async () => {
    await declare(withWeight('2'));
    await run('publish', folder, '-m', 'second');
    await declare(
      withWeight('3').filter(({name}) => !name.includes('gujarati')),
    );
    await run('publish', folder, '-m', 'third');
    const {code, output} = await run('rollback', '1');
    expect(output).to.deep.equal(['accepted as version 4 (3 changes)']);
    expect(code).to.equal(EXIT_CODE.ok);
    await declare(objects);
    expect((await run('diff', folder)).code).to.equal(EXIT_CODE.ok);
    const {output: lines} = await run('history');
    expect(lines.map(line => line.split(/ +/)[0])).to.deep.equal(
      'VERSION 4 3 2 1'.split(' '),
    );
    expect(lines[1]).to.contain('roll back to version 1');
  });

  it('refuses to roll back to a version that does not exist', async () => {
    const {code, errors} = await run('rollback', '7');
    expect(code).to.equal(EXIT_CODE.failed);
    expect(errors[0]).to.equal('version 7 does not exist; 1 is newest');
  });

  it('reports a rejected publication', async () => {
    await declare(withWeight('2'));
    await run('publish', folder);
    await declare(withWeight('3'));
    const {code, errors} = await run('publish', folder, '--base', '1');
    expect(code).to.equal(EXIT_CODE.rejected);
    expect(errors[1]).to.contain('team/inspectors was changed in version 2');
  });

  it('waits until a version is in force and shows its author', async () => {
    await cluster.awaitRemoteHosts();
    await declare(withWeight('2'));
    const id = 'p-1';
    const flags = ['--author', 'birna', '--id', id, '--wait'];
    const published = await run('publish', folder, ...flags);
    expect(published.code).to.equal(EXIT_CODE.ok);
    expect(published.output.at(-1)).to.equal('in force on all 2 hosts');
    expect((await run('history')).out).to.contain('birna');
    const again = await run('publish', folder, ...flags);
    expect(again.out).to.contain('nothing to publish');
  });

  it('shows the outcome of a publication or how to find it out', async () => {
    await declare(withWeight('2'));
    const unseen = await run('resume', 'p-2');
    expect(unseen.code).to.equal(EXIT_CODE.unknown);
    expect(unseen.errors.join('\n')).to.contain('--id p-2');
    await run('publish', folder, '--id', 'p-2');
    const {code, out} = await run('resume', 'p-2', '--wait');
    expect(code).to.equal(EXIT_CODE.ok);
    expect(out).to.contain('accepted as version 2');
  });

  it('reports an unknown outcome with the publication id', async () => {
    await declare(withWeight('2'));
    cluster.log.faults = {...cluster.log.faults, down: true};
    const {code, errors} = await run('publish', folder, '--id', 'p-3');
    expect(code).to.equal(EXIT_CODE.unknown);
    expect(errors.at(-1)).to.equal('the id is p-3');
  });

  it('shows every host, including one that does not respond', async () => {
    await cluster.awaitVersion(1);
    await cluster.awaitRemoteHosts();
    const {output} = await run('status');
    expect(output.map(line => line.split(/ +/)[0])).to.deep.equal([
      'HOST',
      'a-1',
      'b-1',
    ]);
    cluster.daemon('b-1').kill();
    const {out, code} = await run('status', '--json');
    const [first, second] = JSON.parse(out);
    expect(first.status).to.include({host: 'a-1', ready: true});
    expect(second).to.include({host: 'b-1', zone: 'b', status: null});
    expect(code).to.equal(EXIT_CODE.ok);
  });

  it('drains a host', async () => {
    const {whenStopped: done} = cluster.daemon('a-1');
    const {code, output} = await run('drain');
    expect(code).to.equal(EXIT_CODE.ok);
    expect(output[0]).to.contain('a-1 takes no new requests');
    await done;
  });

  it('reports a wrong token', async () => {
    const errors: string[] = [];
    const terminal = {
      out: () => {},
      error: (line: string) => void errors.push(line),
    };
    const env = {FUCHSIACLEAT_HOST: cluster.operatorUrl('a-1')};
    const code = await runTool(['get'], terminal, env);
    expect(code).to.equal(EXIT_CODE.failed);
    expect(errors.at(-1)).to.contain('set FUCHSIACLEAT_TOKEN');
  });
});
