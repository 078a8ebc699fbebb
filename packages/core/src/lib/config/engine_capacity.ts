/** Memory capacity of the declared engines. @packageDocumentation */

import {TargetFields} from './declarations.js';

/** Memory sizes of all engines. */
export interface EngineCapacity {
  /** Memory of each engine, in bytes. */
  memorySizes: readonly number[];
  /** Memory of the largest engine, in bytes; 0 if there are no engines. */
  largest: number;
}

/** Collects the memory sizes of the engines among the targets. */
export function engineCapacityOf(
  targets: Iterable<TargetFields>,
): EngineCapacity {
  const memories: number[] = [];
  for (const {kind, memory} of targets) {
    if (kind === 'engine') memories.push(memory);
  }
  return {memorySizes: memories, largest: Math.max(0, ...memories)};
}
