/** Runs benchmarks and experiments and checks the bounds of their metrics. @packageDocumentation */

export * from './lib/benchmark.js';
export * from './lib/bounds.js';
export * from './lib/report.js';
