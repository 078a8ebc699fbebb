/** Runs real host processes under injected faults and checks their promises. @packageDocumentation */

export * from './lib/deployed_program.js';
export * from './lib/earlier_build.js';
export * from './lib/soak_checks.js';
export * from './lib/soak_run.js';
export * from './lib/soak_world.js';
