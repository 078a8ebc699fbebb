/** `npm run golden`: compares a session with the golden file, or rewrites the file. @packageDocumentation */

import {mkdir, readFile, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import {GOLDEN_FILE, GoldenSession} from './lib/golden_session.js';

async function main(): Promise<number> {
  const transcript = await GoldenSession.run();
  if (process.argv.includes('--update')) {
    await mkdir(dirname(GOLDEN_FILE), {recursive: true});
    await writeFile(GOLDEN_FILE, transcript);
    return 0;
  }
  if ((await readFile(GOLDEN_FILE, 'utf8')) === transcript) return 0;
  process.stdout.write(transcript);
  process.stderr.write('differs; "npm run golden -- --update" rewrites it\n');
  return 1;
}

process.exit(await main());
