/** The program as the users' platform builds and runs it. @packageDocumentation */

import {execFile} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));
const FILE = 'deploy/system.toml';

/**
 * Builds the program as `deploy/system.toml` says.
 *
 * @returns the arguments of Node with which it is run there.
 */
export async function buildDeployed(): Promise<string[]> {
  const text = await readFile(join(ROOT, FILE), 'utf8');
  const cwd = ROOT;
  await promisify(execFile)('sh', ['-c', valueOf(text, 'build')], {cwd});
  const [, ...args] = valueOf(text, 'run').split(' ');
  const program = args.pop()!;
  return [...args, join(ROOT, program)];
}

/** @returns a string of the file, whose escapes are those of JSON. */
function valueOf(text: string, key: string): string {
  const found = new RegExp(`^${key} = (".*")$`, 'm').exec(text);
  if (found === null) throw new Error(`${FILE} has no ${key}`);
  return JSON.parse(found[1]) as string;
}
