/** Builds the program of an earlier commit. @packageDocumentation */

import {execFile} from 'node:child_process';
import {mkdir, mkdtemp, readdir, symlink, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {ROOT, buildDeployed} from './deployed_program.js';

const MODULES = 'node_modules';

/** Folder of the modules that are the project's own packages. */
const OWN_SCOPE = '@fuchsiacleat';

const MAX_ARCHIVE_BYTES = 100_000_000;

const run = promisify(execFile);

/**
 * @param commit - commit of this repository.
 * @returns whether the repository has it; a shallow clone may not.
 */
export async function hasCommit(commit: string): Promise<boolean> {
  const args = ['cat-file', '-e', `${commit}^{commit}`];
  return run('git', args, {cwd: ROOT}).then(
    () => true,
    () => false,
  );
}

/**
 * Builds the program of a commit as the platform does, with the dependencies of
 * this tree, in a temporary folder.
 *
 * @param commit - commit of this repository.
 * @returns the Node.js arguments with which the platform runs it.
 */
export async function buildEarlier(commit: string): Promise<string[]> {
  const folder = await mkdtemp(join(tmpdir(), `fuchsiacleat-${commit}-`));
  const {stdout} = await run('git', ['archive', commit], {
    cwd: ROOT,
    encoding: 'buffer',
    maxBuffer: MAX_ARCHIVE_BYTES,
  });
  const archive = `${folder}.tar`;
  await writeFile(archive, stdout);
  await run('tar', ['-xf', archive, '-C', folder]);
  await linkModules(folder);
  return buildDeployed(folder);
}

/** Links all modules but the project's own, which are those of the commit. */
async function linkModules(folder: string): Promise<void> {
  const modules = join(ROOT, MODULES);
  await mkdir(join(folder, MODULES, OWN_SCOPE), {recursive: true});
  for (const name of await readdir(modules)) {
    if (name !== OWN_SCOPE)
      await symlink(join(modules, name), join(folder, MODULES, name));
  }
  await symlink(
    join(ROOT, 'platform', MODULES),
    join(folder, 'platform', MODULES),
  );
  await symlink(
    join(folder, 'packages', 'core'),
    join(folder, MODULES, OWN_SCOPE, 'core'),
  );
}
