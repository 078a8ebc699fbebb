/** Records of workers for the checks. @packageDocumentation */

import {PlatformWorkerStandin} from '@fuchsiacleat/standins';
import {CRASHING_BODY, WorkerRecord} from './soak_checks.js';
import {LinkedWorker} from './soak_world.js';

/** Longest time from the start of a crashing request to the crash. */
const CRASH_AFTER_MS = 200;

const ENGINE_MODEL_CAPACITY = 1;

/** @returns the times of the crashes of a worker under a crashing request. */
export function crashesOf({crashesMs, runs}: PlatformWorkerStandin): number[] {
  const crashing = runs.filter(({body}) => body === CRASHING_BODY);
  return crashesMs.filter(ms =>
    crashing.some(
      ({startedMs}) => startedMs <= ms && ms - startedMs < CRASH_AFTER_MS,
    ),
  );
}

/** @returns what a worker has received. */
export function toWorkerRecord({
  isEngine,
  name,
  standin,
}: LinkedWorker): WorkerRecord {
  const {orderCalls: orders, runs} = standin;
  const capacity = isEngine ? ENGINE_MODEL_CAPACITY : undefined;
  return {
    name,
    runs,
    orders,
    modelCapacity: capacity,
    initialModels: isEngine ? ENGINE_MODEL_CAPACITY : 0,
  };
}
