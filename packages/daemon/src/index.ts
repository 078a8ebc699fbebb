/** The daemon as a library, for tests and benchmarks. @packageDocumentation */

export * from './lib/daemon.js';
export * from './lib/http_outcome.js';
export * from './lib/request_gate.js';
export * from './lib/settings.js';
