/** Asks targets that are assumed to be cold. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {COLD_SOURCE, ColdSource, TargetWarming} from './target_warming.js';

/** Time between two rounds of checks. */
const CHECK_INTERVAL_MS = 250;

/** Most targets that are asked in a round, to bound its connections. */
const MAX_CHECKS = 16;

/** Knowledge that the target's own word may replace. */
const ASSUMED: ReadonlySet<ColdSource> = new Set([
  COLD_SOURCE.process,
  COLD_SOURCE.unreachable,
  COLD_SOURCE.zone,
]);

/** Reads health responses of targets. */
export abstract class HealthReader {
  /**
   * Asks a target for how long it stays cold.
   *
   * @param target - the target.
   * @returns the time in milliseconds; undefined if it does not say.
   */
  abstract readColdMs(target: KnownTarget): Promise<number | undefined>;
}

/** Dependencies of a {@link ColdHealthCheck}. */
export interface ColdHealthCheckParts {
  clock: Clock;
  targets: TargetTable;
  warming: TargetWarming;
  reader: HealthReader;
  /** Whether this host asks on behalf of all. */
  isChecking: () => boolean;
}

/**
 * Lets one host ask targets that count as cold without having said so, as far
 * as they accept requests.
 */
export class ColdHealthCheck {
  /** @param parts - see {@link ColdHealthCheckParts}. */
  constructor(private readonly parts: ColdHealthCheckParts) {}

  /**
   * Checks targets until the signal aborts.
   *
   * @param signal - ends the task.
   */
  run(signal: AbortSignal): Promise<void> {
    const check = () => this.check();
    return this.parts.clock.every(CHECK_INTERVAL_MS, signal, check);
  }

  /** Asks the targets of one round, and records what they say. */
  async check(): Promise<void> {
    const {isChecking, targets, warming} = this.parts;
    if (!warming.isDeclared || !isChecking()) return;
    const assumed: KnownTarget[] = [];
    for (const target of targets.all()) {
      const state = warming.stateOf(target.registration);
      const isAssumed = state !== undefined && ASSUMED.has(state.source);
      if (isAssumed && target.coldLeftMs > 0 && target.isOpen)
        assumed.push(target);
    }
    const asked = assumed.slice(0, MAX_CHECKS);
    await Promise.all(asked.map(target => this.ask(target)));
  }

  private async ask(target: KnownTarget): Promise<void> {
    const {clock, reader, targets} = this.parts;
    const askedMs = clock.now();
    const leftMs = await reader.readColdMs(target);
    if (leftMs === undefined || target.isRemoved) return;
    const ageMs = clock.now() - askedMs;
    targets.recordCold(target, {leftMs, ageMs}, COLD_SOURCE.health);
  }
}
