/** Builds the program and its arguments as the users' platform does. @packageDocumentation */

import {execFile} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

/** Folder of this project. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const DEPLOYMENT_FILE = 'deploy/system.toml';

/**
 * @param root - folder of the sources; this project's by default.
 * @returns the Node.js flags with which the platform runs the program.
 */
export async function readDeployedFlags(root = ROOT): Promise<string[]> {
  const [, ...args] = valueOf(await readDeployment(root), 'run').split(' ');
  return args.slice(0, -1);
}

/**
 * Builds the program as the platform does.
 *
 * @param root - folder of the sources; this project's by default.
 * @returns the Node.js arguments with which the platform runs it.
 */
export async function buildDeployed(root = ROOT): Promise<string[]> {
  const text = await readDeployment(root);
  const cwd = root;
  await promisify(execFile)('sh', ['-c', valueOf(text, 'build')], {cwd});
  const program = valueOf(text, 'run').split(' ').at(-1)!;
  return [...(await readDeployedFlags(root)), join(root, program)];
}

function readDeployment(root: string): Promise<string> {
  return readFile(join(root, DEPLOYMENT_FILE), 'utf8');
}

/** @returns the string value of a key; its escapes are those of JSON. */
function valueOf(text: string, key: string): string {
  const found = new RegExp(`^${key} = (".*")$`, 'm').exec(text);
  if (found === null)
    throw new Error(`${DEPLOYMENT_FILE} has no string value for ${key}`);
  return JSON.parse(found[1]) as string;
}
