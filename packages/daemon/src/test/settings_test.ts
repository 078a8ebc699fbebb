import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {parseSettings} from '../lib/settings.js';
import {settingsPage, settingsPagePath} from '../lib/settings_page.js';

const EXAMPLE = new URL(
  '../../../../examples/fuchsiacleatd.ini',
  import.meta.url,
);

describe('settings', () => {
  it('reports all faults with section and key', () => {
    const lines = [
      '[host]',
      'name = Not A Name',
      '[listen]',
      'caller = somewhere:80',
      'operator = 127.0.0.1:8081',
      '[limits]',
      'body_bytes = many',
      '[log]',
      'colour = red',
      '[brand]',
      'x = 1',
    ];
    const parsed = parseSettings(lines.join('\n'));
    const keys = parsed._unsafeUnwrapErr().map(({key}) => key);
    expect(keys).to.include.members([
      'host.name',
      'host.zone',
      'listen.caller',
      'listen.peer',
      'platform.log',
      'peers.secret',
      'operators.token_digest',
      'limits.body_bytes',
      'log.colour',
      'brand',
    ]);
  });

  it('reports an absent key as missing', () => {
    const faults = parseSettings('')._unsafeUnwrapErr();
    const message = 'is missing';
    expect(faults).to.deep.include({key: 'host.zone', message});
  });

  it('accepts the example file', async () => {
    const parsed = parseSettings(await readFile(EXAMPLE, 'utf8'));
    expect(parsed.isOk(), JSON.stringify(parsed)).to.be.true;
  });

  it('matches the committed page; "npm run docs" regenerates it', async () => {
    const page = await readFile(settingsPagePath(), 'utf8');
    expect(page).to.equal(settingsPage());
  });
});
