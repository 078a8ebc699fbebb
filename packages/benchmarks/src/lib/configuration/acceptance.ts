/** What acceptance costs at a size. @packageDocumentation */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Change, ConfigState, Random} from '@fuchsiacleat/core';
import {ConfigSize, everydayChange, largeConfig} from './large_config.js';

const MIB = 1024 ** 2;

/** Times in milliseconds, sizes in MiB. */
export interface AcceptanceResult {
  firstMs: number;
  changeMs: number[];
  restoreMs: number;
  captureMs: number;
  snapshotMib: number;
  heapMib: number;
}

/**
 * Publishes a whole configuration and then everyday changes one by one.
 *
 * @param size - how much is declared.
 * @param changes - number of everyday changes.
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
  const first = asRead(largeConfig(size));
  const firstMs = timed(() => publish(state, first));
  const changeMs: number[] = [];
  for (let i = 0; i < changes; i++) {
    const delta = asRead([everydayChange(size, random)]);
    changeMs.push(timed(() => publish(state, delta)));
  }
  const heapMib = (heapBytes() - beforeBytes) / MIB;
  let json = '';
  const captureMs = timed(() => {
    json = JSON.stringify(state.capture());
  });
  const copy = new ConfigState();
  const restoreMs = timed(() => {
    if (!copy.restore(JSON.parse(json))) throw new Error('not restored');
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

/** Changes as they come from the log, which shares no text with others. */
function asRead(changes: Change[]): Change[] {
  return JSON.parse(JSON.stringify(changes)) as Change[];
}

function timed(work: () => void): number {
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
