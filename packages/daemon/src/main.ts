#!/usr/bin/env node
/** Command line of `fuchsiacleatd`, the daemon of an entry host. @packageDocumentation */

import {ConsolaLogger} from '@fuchsiacleat/core';
import {Command} from 'commander';
import {Daemon} from './lib/daemon.js';
import {readSettings} from './lib/settings.js';

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

async function run(path: string): Promise<void> {
  const settings = await readSettings(path);
  if (settings.isErr()) {
    for (const {key, message} of settings.error) {
      process.stderr.write(`${path}: ${key}: ${message}\n`);
    }
    process.exit(EXIT_SETTINGS);
  }
  const {host, log} = settings.value;
  const logger = new ConsolaLogger(log.level, {host: host.name});
  const daemon = new Daemon(settings.value, {logger});
  const onSignal = () => {
    process.once('SIGTERM', () => process.exit(EXIT_FAILED));
    process.once('SIGINT', () => process.exit(EXIT_FAILED));
    void daemon.stop();
  };
  process.once('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
  void daemon.whenStopped.then(() => process.exit(0));
  const started = await daemon.start();
  if (started.isErr()) {
    logger.error('start_failed', {reason: started.error});
    process.exit(EXIT_FAILED);
  }
}

await new Command('fuchsiacleatd')
  .description('Serves callers at one entry host.')
  .requiredOption('-s, --settings <file>', 'settings file (INI)')
  .action((options: {settings: string}) => run(options.settings))
  .parseAsync();
