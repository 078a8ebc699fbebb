#!/usr/bin/env node
/** Entry point of `fuchsiacleat`, the operators' command-line tool. @packageDocumentation */

import {runTool} from './lib/program.js';

const terminal = {
  out: (line: string) => process.stdout.write(line + '\n'),
  error: (line: string) => process.stderr.write(line + '\n'),
};

process.exitCode = await runTool(process.argv.slice(2), terminal, process.env);
