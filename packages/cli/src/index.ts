/** The operators' command-line tool as a library. @packageDocumentation */

export * from './lib/client_error_report.js';
export * from './lib/commands/get_command.js';
export * from './lib/delta.js';
export * from './lib/exit_code.js';
export * from './lib/operator_client.js';
export * from './lib/program.js';
export * from './lib/terminal.js';
export * from './lib/commands/await_in_force.js';
