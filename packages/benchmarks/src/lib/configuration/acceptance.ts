/** Measures the cost of accepting publications at a given size. @packageDocumentation */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Change, ConfigState, Random} from '@fuchsiacleat/core';
import {
  ConfigSize,
  createTypicalChange,
  createLargeConfig,
} from './large_config.js';

const MIB = 1024 ** 2;

/** Measured times in milliseconds and sizes in MiB. */
export interface AcceptanceResult {
  firstMs: number;
  changeMs: number[];
  restoreMs: number;
  captureMs: number;
  snapshotMib: number;
  heapMib: number;
}

/**
 * Publishes a whole configuration and then typical changes one by one.
 *
 * @param size - size of the configuration.
 * @param changes - number of typical changes.
 * @param seed - seed of the changes.
 */
export function measureAcceptance(
  size: ConfigSize,
  changes: number,
  seed: number,
): AcceptanceResult {
  const random = new Random(seed);
  const beforeBytes = heapBytes();
  const state = new ConfigState();
  const first = copyThroughJson(createLargeConfig(size));
  const firstMs = measureMs(() => publish(state, first));
  const changeMs: number[] = [];
  for (let i = 0; i < changes; i++) {
    const delta = copyThroughJson([createTypicalChange(size, random)]);
    changeMs.push(measureMs(() => publish(state, delta)));
  }
  const heapMib = (heapBytes() - beforeBytes) / MIB;
  let json = '';
  const captureMs = measureMs(() => {
    json = JSON.stringify(state.capture());
  });
  const copy = new ConfigState();
  const restoreMs = measureMs(() => {
    if (!copy.restore(JSON.parse(json)))
      throw new Error('the captured state could not be restored');
  });
  const snapshotMib = Buffer.byteLength(json) / MIB;
  return {firstMs, changeMs, restoreMs, captureMs, snapshotMib, heapMib};
}

function publish(state: ConfigState, changes: Change[]): void {
  const {version: base} = state;
  const type = 'publication' as const;
  const verdict = state.apply({type, base, changes, message: ''}, 0);
  if (!verdict.accepted) throw new Error(verdict.reasons.join('; '));
}

/** Copies changes through JSON, so that they share no strings, as when read from the log. */
function copyThroughJson(changes: Change[]): Change[] {
  return JSON.parse(JSON.stringify(changes)) as Change[];
}

function measureMs(work: () => void): number {
  const startMs = performance.now();
  work();
  return performance.now() - startMs;
}

function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
