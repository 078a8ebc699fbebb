/** Builds the program and its arguments as the users' platform does. @packageDocumentation */

import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const DEPLOYMENT_FILE = 'deploy/system.toml';

/** @returns the Node.js flags with which the platform runs the program. */
export async function readDeployedFlags(): Promise<string[]> {
  const [, ...args] = valueOf(await readDeployment(), 'run').split(' ');
  return args.slice(0, -1);
}

/**
 * Builds the program as the platform does.
 *
 * @returns the Node.js arguments with which the platform runs it.
 */
export async function buildDeployed(): Promise<string[]> {
  const text = await readDeployment();
  const cwd = ROOT;
  await promisify(execFile)('sh', ['-c', valueOf(text, 'build')], {cwd});
  const program = valueOf(text, 'run').split(' ').at(-1)!;
  return [...(await readDeployedFlags()), join(ROOT, program)];
}

let ownBuild: Promise<readonly string[]> | undefined;

/**
 * Builds the program once for this process, in a folder of its own, as several
 * processes may build at the same time. The dependencies have to be installed.
 *
 * @returns the Node.js arguments with which the platform runs the program.
 */
export function ownDeployedArgs(): Promise<readonly string[]> {
  ownBuild ??= buildOwn();
  return ownBuild;
}

async function buildOwn(): Promise<readonly string[]> {
  const text = await readDeployment();
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiacleat-program-'));
  process.once('exit', () => rmSync(folder, {recursive: true}));
  const program = valueOf(text, 'run').split(' ').at(-1)!;
  const ownProgram = join(folder, 'program.mjs');
  const bundling = valueOf(text, 'build').split('; ').at(-1)!;
  const command = bundling.replace(program, ownProgram);
  await promisify(execFile)('sh', ['-c', command], {cwd: ROOT});
  return [...(await readDeployedFlags()), ownProgram];
}

function readDeployment(): Promise<string> {
  return readFile(join(ROOT, DEPLOYMENT_FILE), 'utf8');
}

/** @returns the string value of a key; its escapes are those of JSON. */
function valueOf(text: string, key: string): string {
  const found = new RegExp(`^${key} = (".*")$`, 'm').exec(text);
  if (found === null)
    throw new Error(`${DEPLOYMENT_FILE} has no string value for ${key}`);
  return JSON.parse(found[1]) as string;
}
