import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {digestOf} from '@fuchsiacleat/core';
import {EXIT_CODE, runTool} from '../index.js';
import {FakeTerminal} from './fake_terminal.js';

const COMMANDS = [
  ['check'],
  ['diff'],
  ['publish'],
  ['get'],
  ['history'],
  ['rollback'],
  ['resume'],
  ['status'],
  ['drain'],
  ['explain'],
  ['key', 'create'],
];

async function run(...args: string[]) {
  const terminal = new FakeTerminal();
  const code = await runTool(args, terminal, {});
  const {output, errors} = terminal;
  return {code, output, errors, out: output.join('\n')};
}

describe('fuchsiacleat', () => {
  let folder: string;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-'));
  });

  afterEach(() => rm(folder, {recursive: true}));

  it('documents every exit code', async () => {
    const {code, out} = await run('--help');
    expect(code).to.equal(EXIT_CODE.ok);
    for (const value of Object.values(EXIT_CODE)) {
      expect(out).to.match(new RegExp(`^  ${value}  \\S`, 'm'));
    }
  });

  for (const command of COMMANDS) {
    it(`shows an example of ${command.join(' ')}`, async () => {
      const {code, out} = await run(...command, '--help');
      expect(code).to.equal(EXIT_CODE.ok);
      expect(out).to.match(
        new RegExp(`Examples:\\n  fuchsiacleat .*${command.at(-1)}`),
      );
    });
  }

  it('reports an invalid command line on standard error', async () => {
    const {code, output, errors} = await run('rollback', 'yesterday');
    expect(code).to.equal(EXIT_CODE.usage);
    expect(output).to.be.empty;
    expect(errors.join('\n')).to.contain('expected a whole number');
  });

  it('accepts a folder without faults', async () => {
    await writeFile(join(folder, 'a.ini'), '[zone "a"]\n');
    const {code, output} = await run('check', folder);
    expect(code).to.equal(EXIT_CODE.ok);
    expect(output).to.deep.equal(['1 objects, no faults']);
  });

  it('reports all faults with file and line', async () => {
    const path = join(folder, 'a.ini');
    await writeFile(path, '[zone "a"]\nweigth = 2\n[key "k"]\nteam = none\n');
    const {code, errors} = await run('check', folder);
    expect(code).to.equal(EXIT_CODE.faults);
    expect(errors[0]).to.contain(`${path}:2: zone/a: weigth`);
    expect(errors.join('\n')).to.contain(`${path}:4: key/k: team: no valid`);
    expect(errors.join('\n')).to.contain('key/k: digest');
  });

  it('suggests a remedy when the host cannot be reached', async () => {
    const {code, errors} = await run('--host', 'http://127.0.0.1:1', 'status');
    expect(code).to.equal(EXIT_CODE.unreachable);
    expect(errors.at(-1)).to.contain('try another entry host');
  });

  it('creates a key and prints its digest', async () => {
    const {output} = await run('key', 'create');
    const [key, digest] = output.map(line => line.split(/ +/)[1]);
    expect(digestOf(key)).to.equal(digest);
  });
});
