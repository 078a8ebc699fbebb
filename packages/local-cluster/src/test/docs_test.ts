import {existsSync} from 'node:fs';
import {readFile, readdir} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {EXIT_CODE, runTool} from '@fuchsiacleat/cli';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const LINK = /\]\(([^)\s#]+)(?:#[^)]*)?\)/g;
const SCRIPT = /npm run ([a-z-]+)/g;
const COMMAND = /^ {4}(?:npx )?fuchsiacleat (?:--\S+ \S+ )*([a-z]+)/gm;

async function pages(): Promise<string[]> {
  const names = await readdir(ROOT, {recursive: true});
  return names.filter(
    name => name.endsWith('.md') && !name.includes('node_modules'),
  );
}

async function findAll(pattern: RegExp) {
  const found: Array<{page: string; text: string}> = [];
  for (const page of await pages()) {
    const content = await readFile(join(ROOT, page), 'utf8');
    for (const [, text] of content.matchAll(pattern)) found.push({page, text});
  }
  return found;
}

describe('the documentation', () => {
  it('links to existing files', async () => {
    const links = await findAll(LINK);
    const broken = links.filter(({page, text}) => {
      if (/^[a-z]+:/.test(text)) return false;
      return !existsSync(join(ROOT, dirname(page), text));
    });
    expect(links.length).to.be.greaterThan(0);
    expect(broken).to.deep.equal([]);
  });

  it('names existing scripts', async () => {
    const text = await readFile(join(ROOT, 'package.json'), 'utf8');
    const {scripts} = JSON.parse(text) as {scripts: Record<string, string>};
    const named = await findAll(SCRIPT);
    const unknown = named.filter(({text: name}) => !(name in scripts));
    expect(named.length).to.be.greaterThan(0);
    expect(unknown).to.deep.equal([]);
  });

  it('shows existing commands', async () => {
    const shown = await findAll(COMMAND);
    const unknown = [];
    for (const {page, text} of shown) {
      const terminal = {out: () => {}, error: () => {}};
      const code = await runTool([text, '--help'], terminal, {});
      if (code !== EXIT_CODE.ok) unknown.push({page, text});
    }
    expect(shown.length).to.be.greaterThan(0);
    expect(unknown).to.deep.equal([]);
  });
});
