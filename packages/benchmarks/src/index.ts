/** Load and experiment tool. @packageDocumentation */

export * from './lib/benchmark.js';
export * from './lib/bounds.js';
export * from './lib/report.js';
