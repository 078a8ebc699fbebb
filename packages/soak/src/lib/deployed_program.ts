/** Builds the program and its arguments as the users' platform does. @packageDocumentation */

import {execFile} from 'node:child_process';
import {readFile, rename} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

/** Folder of this project. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const DEPLOYMENT_FILE = 'deploy/system.toml';

/** Begins the part of the build command that writes the program. */
const BUNDLER = 'npx esbuild ';

/**
 * @param root - folder of the sources; this project's by default.
 * @returns the Node.js flags with which the platform runs the program.
 */
export async function readDeployedFlags(root = ROOT): Promise<string[]> {
  const [, ...args] = valueOf(await readDeployment(root), 'run').split(' ');
  return args.slice(0, -1);
}

/**
 * Builds the program as the platform does, from the installed dependencies.
 *
 * @param root - folder of the sources; this project's by default.
 * @returns the Node.js arguments with which the platform runs it; rejects with
 *     the messages of the bundler if it can't be built.
 */
export async function buildDeployed(root = ROOT): Promise<string[]> {
  const text = await readDeployment(root);
  const program = join(root, valueOf(text, 'run').split(' ').at(-1)!);
  // Other processes may build or start the program at the same time.
  const output = `${program}.${process.pid}`;
  const command = `${bundleCommand(text)} --outfile="${output}"`;
  await promisify(execFile)('sh', ['-c', command], {cwd: root});
  await rename(output, program);
  return [...(await readDeployedFlags(root)), program];
}

let ownBuild: Promise<readonly string[]> | undefined;

/**
 * Builds the program once for this process.
 *
 * @returns the Node.js arguments with which the platform runs the program.
 */
export function ownDeployedArgs(): Promise<readonly string[]> {
  ownBuild ??= buildDeployed();
  return ownBuild;
}

/**
 * @returns the build command without the installation of the dependencies, which
 *     would replace those that this process and others run from.
 */
function bundleCommand(text: string): string {
  const build = valueOf(text, 'build');
  const start = build.indexOf(BUNDLER);
  if (start < 0)
    throw new Error(`${DEPLOYMENT_FILE} does not build with ${BUNDLER}`);
  return build.slice(start);
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
