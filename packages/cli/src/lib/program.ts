/** The commands of the tool. @packageDocumentation */

import {createKey} from '@fuchsiacleat/core';
import {Command} from 'commander';
import {check} from './commands/check_command.js';
import {publish} from './commands/publish_command.js';
import {showStatus} from './commands/status_command.js';
import {EXIT_CODE, ExitCode} from './exit_code.js';
import {OperatorClient} from './operator_client.js';
import {Terminal} from './terminal.js';

const DEFAULT_HOST = 'http://127.0.0.1:8081';

/**
 * Runs the tool.
 *
 * @param args - arguments after the program's name.
 * @param terminal - where to write.
 * @param env - environment; `FUCHSIACLEAT_TOKEN` and `FUCHSIACLEAT_HOST`
 *     count.
 * @returns the exit code.
 */
export async function runTool(
  args: readonly string[],
  terminal: Terminal,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODE.ok;
  const program = new Command('fuchsiacleat')
    .description('Checks, publishes and watches declarations.')
    .option(
      '--host <url>',
      'operator API of any entry host (or FUCHSIACLEAT_HOST)',
      env.FUCHSIACLEAT_HOST ?? DEFAULT_HOST,
    )
    .configureOutput({
      writeOut: text => terminal.out(text.trimEnd()),
      writeErr: text => terminal.error(text.trimEnd()),
    })
    .exitOverride();
  const client = () =>
    new OperatorClient(program.opts().host, env.FUCHSIACLEAT_TOKEN ?? '');
  const finish = async (work: Promise<ExitCode>) => {
    exitCode = await work;
  };
  program
    .command('check <folder>')
    .description('check declarations offline; every fault is shown at once')
    .action((folder: string) => finish(check(terminal, folder)));
  program
    .command('publish <folder>')
    .description('publish the declarations of a folder')
    .option('-m, --message <text>', 'why', '')
    .option('--base <version>', 'version that the folder was made from')
    .action((folder: string, options: {message: string; base?: string}) => {
      const base = options.base === undefined ? undefined : +options.base;
      const {message} = options;
      return finish(publish(terminal, client(), {folder, message, base}));
    });
  program
    .command('status')
    .description('show what a host tells of itself')
    .option('--json', 'as one JSON object')
    .action(({json}: {json?: boolean}) =>
      finish(showStatus(terminal, client(), json === true)),
    );
  program
    .command('key')
    .description('work with keys')
    .command('create')
    .description('make a key; it is shown once and stored nowhere')
    .action(() => {
      const {key, digest} = createKey();
      terminal.out(`key     ${key}`);
      terminal.out(`digest  ${digest}`);
    });
  try {
    await program.parseAsync(args, {from: 'user'});
  } catch (error) {
    const {exitCode: code} = error as {exitCode?: number};
    return code === 0 ? EXIT_CODE.ok : EXIT_CODE.usage;
  }
  return exitCode;
}
