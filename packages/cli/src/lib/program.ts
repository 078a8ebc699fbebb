/** Defines the commands and options of the tool. @packageDocumentation */

import {randomBytes} from 'node:crypto';
import {userInfo} from 'node:os';
import {createKey} from '@fuchsiacleat/core';
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {check} from './commands/check_command.js';
import {diff} from './commands/diff_command.js';
import {drain} from './commands/drain_command.js';
import {explain} from './commands/explain_command.js';
import {get} from './commands/get_command.js';
import {history} from './commands/history_command.js';
import {publish} from './commands/publish_command.js';
import {resume} from './commands/resume_command.js';
import {rollback} from './commands/rollback_command.js';
import {showStatus} from './commands/status_command.js';
import {SubmitOptions} from './commands/submit.js';
import {EXIT_CODE, ExitCode, describeExitCodes} from './exit_code.js';
import {OperatorClient} from './operator_client.js';
import {Terminal} from './terminal.js';

const DEFAULT_HOST = 'http://127.0.0.1:8081';
const DEFAULT_HISTORY_LIMIT = 20;
const DEFAULT_WAIT_S = 17;
const PUBLICATION_ID_BYTES = 8;

const ENVIRONMENT_HELP = `
Environment:
  FUCHSIACLEAT_HOST   operator API of an entry host, in place of --host
  FUCHSIACLEAT_TOKEN  the operators' token

Examples:
  fuchsiacleat check declarations/
  fuchsiacleat --host http://10.0.1.5:8081 diff declarations/
  fuchsiacleat publish declarations/ -m 'grant inspectors a second key'
  fuchsiacleat status --json`;

const AUTHOR_OPTION = [
  '--author <name>',
  'who publishes; the name of the user by default',
] as const;

const WAIT_OPTION = [
  '--wait [seconds]',
  `wait until every host has the version in force (${DEFAULT_WAIT_S} s)`,
  parseWholeNumber,
] as const;

/** Flags of the commands that publish changes. */
interface SubmitFlags {
  author?: string;
  id?: string;
  wait?: true | number;
}

/** Flags of `publish`. */
interface PublishFlags extends SubmitFlags {
  message: string;
  base?: number;
}

/** Dependencies of every command. */
interface CommandContext {
  terminal: Terminal;
  /** Creates a client of the host given by --host. */
  createClient: () => OperatorClient;
  /** Waits for a command and records its exit code. */
  setExitCode: (work: Promise<ExitCode>) => Promise<void>;
}

/**
 * Runs the tool.
 *
 * @param args - command-line arguments without the program's name.
 * @param terminal - receives the output.
 * @param env - environment; `FUCHSIACLEAT_TOKEN` and `FUCHSIACLEAT_HOST` are
 *     read.
 * @returns the exit code.
 */
export async function runTool(
  args: readonly string[],
  terminal: Terminal,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODE.ok;
  const program = createProgram(terminal, env);
  const context: CommandContext = {
    terminal,
    createClient: () =>
      new OperatorClient(program.opts().host, env.FUCHSIACLEAT_TOKEN ?? ''),
    setExitCode: async work => {
      exitCode = await work;
    },
  };
  addFolderCommands(program, context);
  addConfigCommands(program, context);
  addHostCommands(program, context);
  addKeyCommands(program, context);
  addLogCommands(program, context);
  try {
    await program.parseAsync(args, {from: 'user'});
  } catch (error) {
    const {exitCode: code, message} = error as CommanderError;
    if (code === undefined) {
      terminal.error(message);
      return EXIT_CODE.failed;
    }
    return code === 0 ? EXIT_CODE.ok : EXIT_CODE.usage;
  }
  return exitCode;
}

function createProgram(terminal: Terminal, env: NodeJS.ProcessEnv): Command {
  return new Command('fuchsiacleat')
    .description('Checks, publishes and watches declarations.')
    .option(
      '--host <url>',
      'operator API of any entry host',
      env.FUCHSIACLEAT_HOST ?? DEFAULT_HOST,
    )
    .addHelpText('after', `${ENVIRONMENT_HELP}\n\n${describeExitCodes()}`)
    .showHelpAfterError('run with --help for usage and examples')
    .configureOutput({
      writeOut: text => terminal.out(text.trimEnd()),
      writeErr: text => terminal.error(text.trimEnd()),
    })
    .exitOverride();
}

/** Adds the commands that read a folder of declarations. */
function addFolderCommands(
  program: Command,
  {terminal, createClient, setExitCode}: CommandContext,
): void {
  program
    .command('check <folder>')
    .description('check declarations offline; every fault is shown at once')
    .addHelpText('after', examples('fuchsiacleat check declarations/'))
    .action((folder: string) => setExitCode(check(terminal, folder)));
  program
    .command('diff <folder>')
    .description('show what publishing a folder would change')
    .addHelpText('after', examples('fuchsiacleat diff declarations/'))
    .action((folder: string) =>
      setExitCode(diff(terminal, createClient(), folder)),
    );
  program
    .command('publish <folder>')
    .description('publish the declarations of a folder')
    .option('-m, --message <text>', 'why', '')
    .option(
      '--base <version>',
      'version the folder was made from',
      parseWholeNumber,
    )
    .option(...AUTHOR_OPTION)
    .option(...WAIT_OPTION)
    .option('--id <id>', 'id of an earlier try, which is not applied twice')
    .addHelpText(
      'after',
      examples(
        "fuchsiacleat publish declarations/ -m 'withdraw key desk-2'",
        'fuchsiacleat publish declarations/ --base 41',
        'fuchsiacleat publish declarations/ --wait 17',
      ),
    )
    .action((folder: string, options: PublishFlags) => {
      const {message, base} = options;
      const submit = toSubmitOptions(options);
      const all = {folder, message, base, submit};
      return setExitCode(publish(terminal, createClient(), all));
    });
}

/** Adds the commands that read or change the configuration in force. */
function addConfigCommands(
  program: Command,
  {terminal, createClient, setExitCode}: CommandContext,
): void {
  program
    .command('get [kind] [name]')
    .description('show the configuration in force as declarations')
    .option('--json', 'as one JSON object', false)
    .addHelpText(
      'after',
      examples('fuchsiacleat get', 'fuchsiacleat get route draft'),
    )
    .action((kind: string | undefined, name: string | undefined, {json}) =>
      setExitCode(get(terminal, createClient(), {kind, name, json})),
    );
  program
    .command('history')
    .description('show accepted versions, newest first')
    .option(
      '--limit <n>',
      'most to show',
      parseWholeNumber,
      DEFAULT_HISTORY_LIMIT,
    )
    .option('--json', 'as one JSON array', false)
    .addHelpText('after', examples('fuchsiacleat history --limit 5'))
    .action((options: {limit: number; json: boolean}) =>
      setExitCode(history(terminal, createClient(), options)),
    );
  program
    .command('rollback')
    .argument('<version>', 'the version to return to', parseWholeNumber)
    .description('publish the content of an earlier version as a new one')
    .option(...AUTHOR_OPTION)
    .option(...WAIT_OPTION)
    .addHelpText('after', examples('fuchsiacleat rollback 41'))
    .action((version: number, options: SubmitFlags) => {
      const submit = toSubmitOptions(options);
      return setExitCode(rollback(terminal, createClient(), version, submit));
    });
  program
    .command('resume <id>')
    .description('tell what became of a publication whose outcome was unknown')
    .option(...WAIT_OPTION)
    .addHelpText('after', examples('fuchsiacleat resume p-2f6c81d09a4be357'))
    .action((id: string, options: SubmitFlags) => {
      const {waitS} = toSubmitOptions(options);
      return setExitCode(resume(terminal, createClient(), {id, waitS}));
    });
}

/** Adds the commands that show or stop hosts. */
function addHostCommands(
  program: Command,
  {terminal, createClient, setExitCode}: CommandContext,
): void {
  program
    .command('status')
    .description('show every host that the entry host knows')
    .option('--json', 'as one JSON array', false)
    .addHelpText('after', examples('fuchsiacleat status'))
    .action(({json}: {json: boolean}) =>
      setExitCode(showStatus(terminal, createClient(), json)),
    );
  program
    .command('drain')
    .description('stop the host given by --host after its running requests')
    .addHelpText(
      'after',
      examples('fuchsiacleat --host http://10.0.1.5:8081 drain'),
    )
    .action(() => setExitCode(drain(terminal, createClient())));
}

/** Adds the commands for keys, which work without a host. */
function addKeyCommands(program: Command, {terminal}: CommandContext): void {
  program
    .command('key')
    .description('work with keys')
    .command('create')
    .description('make a key; it is shown once and stored nowhere')
    .addHelpText('after', examples('fuchsiacleat key create'))
    .action(() => {
      const {key, digest} = createKey();
      terminal.out(`key     ${key}`);
      terminal.out(`digest  ${digest}`);
      terminal.error('give the key to its team; declare only the digest');
    });
}

function toSubmitOptions(flags: SubmitFlags): SubmitOptions {
  const {author, id = newPublicationId(), wait} = flags;
  const waitS = wait === true ? DEFAULT_WAIT_S : wait;
  return {author: author ?? userInfo().username, id, waitS};
}

function newPublicationId(): string {
  return `p-${randomBytes(PUBLICATION_ID_BYTES).toString('hex')}`;
}

function examples(...commands: string[]): string {
  const lines = commands.map(command => `  ${command}`);
  return ['', 'Examples:', ...lines].join('\n');
}

function parseWholeNumber(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError('expected a whole number.');
}

/** Adds the commands that read log files. */
function addLogCommands(program: Command, context: CommandContext): void {
  program
    .command('explain')
    .description('tell from log lines what became of a request')
    .argument('<id>', "the request's id")
    .argument('[files...]', 'log files of hosts; standard input by default')
    .addHelpText(
      'after',
      examples('fuchsiacleat explain 701cce13af62a05a host-1.log'),
    )
    .action((id: string, files: string[]) =>
      context.setExitCode(explain(id, files, context.terminal, process.stdin)),
    );
}
