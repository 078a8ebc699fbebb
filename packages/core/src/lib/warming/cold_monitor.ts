/** Reports when targets become cold and warm. @packageDocumentation */

import {TargetTable} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {TargetWarming} from './target_warming.js';

/** Time between two checks of the targets. */
const CHECK_INTERVAL_MS = 200;

/** Most lines of one check; a returning zone changes many targets at once. */
const MAX_LINES = 20;

/** Dependencies of a {@link ColdMonitor}. */
export interface ColdMonitorParts {
  clock: Clock;
  logger: Logger;
  targets: TargetTable;
  warming: TargetWarming;
  /** Called after a check that has found a change. */
  onChange: () => void;
}

/** Logs targets that become cold or warm. */
export class ColdMonitor {
  /** Keys of the processes that were cold at the last check. */
  private cold = new Set<string>();

  /** @param parts - see {@link ColdMonitorParts}. */
  constructor(private readonly parts: ColdMonitorParts) {}

  /**
   * Checks the targets until the signal aborts.
   *
   * @param signal - ends the task.
   */
  run(signal: AbortSignal): Promise<void> {
    const check = () => this.check();
    return this.parts.clock.every(CHECK_INTERVAL_MS, signal, check);
  }

  /** Logs what has changed since the last check. */
  check(): void {
    const {logger, onChange, targets, warming} = this.parts;
    if (!warming.isDeclared && this.cold.size === 0) return;
    const cold = new Set<string>();
    const lines: Array<() => void> = [];
    for (const {registration, coldLeftMs} of targets.all()) {
      const target = registration.id;
      const key = `${target} ${registration.startedMs}`;
      const isCold = coldLeftMs > 0;
      if (isCold) cold.add(key);
      if (isCold === this.cold.has(key)) continue;
      const source = warming.stateOf(registration)?.source;
      const leftMs = Math.round(coldLeftMs);
      const event = isCold ? 'target_cold' : 'target_warm';
      lines.push(() => logger.info(event, {target, left_ms: leftMs, source}));
    }
    this.cold = cold;
    if (lines.length === 0) return;
    for (const write of lines.slice(0, MAX_LINES)) write();
    if (lines.length > MAX_LINES)
      logger.info('target_cold_omitted', {count: lines.length - MAX_LINES});
    onChange();
  }
}
