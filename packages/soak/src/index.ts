/** Real hosts among faults, and the promises that they keep. @packageDocumentation */

export * from './lib/deployed_program.js';
export * from './lib/soak_checks.js';
export * from './lib/soak_run.js';
export * from './lib/soak_world.js';
