/** Fakes of the systems that fuchsiacleat depends on. @packageDocumentation */

export * from './lib/engine_memory.js';
export * from './lib/engine_protocol.js';
export * from './lib/engine_reports.js';
export * from './lib/engine_standin.js';
export * from './lib/engine_text.js';
export * from './lib/host_list_standin.js';
export * from './lib/log_standin.js';
export * from './lib/service_standin.js';
export * from './lib/standin_server.js';
export * from './lib/weight_store_standin.js';
export * from './lib/platform/order_call.js';
export * from './lib/platform/platform_store_standin.js';
export * from './lib/platform/faulty_answers.js';
export * from './lib/platform/platform_worker_standin.js';
export * from './lib/platform/raw_answer.js';
export * from './lib/platform/raw_worker.js';
export * from './lib/platform/second_copies.js';
export * from './lib/platform/worker_answers.js';
