/** The whole system in one process, for demonstrations, tests and experiments. @packageDocumentation */

export * from './lib/caller.js';
export * from './lib/local_cluster.js';
export * from './lib/pausable_clock.js';
export * from './lib/sample_declarations.js';
export * from './lib/trace_view.js';
export * from './lib/network_partitions.js';
export * from './lib/faults/jumping_clock.js';
export * from './lib/faults/loop_lag.js';
export * from './lib/placement_audit.js';
export * from './lib/loopback_address.js';
export * from './lib/platform_world.js';
export * from './lib/raw_caller.js';
export * from './lib/strict_caller.js';
