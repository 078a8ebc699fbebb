/** Load reports and cache events of the engine stand-in, delayed and incomplete. @packageDocumentation */

import {createHash} from 'node:crypto';
import {CacheEvent, Clock} from '@fuchsiacleat/core';

const MAX_CACHE_EVENTS = 1_000;
const LOST_EVENT_INTERVAL = 7;
const PREFIX_CHARS = 256;
const DEFAULT_LAG_MS = 500;
const MAX_REPORTS = 1_000;

interface LoadSample {
  atMs: number;
  running: number;
  queued: number;
}

/** Load reports that show changes after a delay. */
export class LoadReports {
  private samples: LoadSample[] = [];

  /**
   * @param clock - measures the delay.
   * @param lagMs - delay until a change shows, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly lagMs = DEFAULT_LAG_MS,
  ) {}

  /** Records a change of the load. */
  record(running: number, queued: number): void {
    this.samples.push({atMs: this.clock.now(), running, queued});
    if (this.samples.length <= MAX_REPORTS) return;
    this.samples = this.samples.slice(-MAX_REPORTS / 2);
  }

  /** @returns the newest report that is at least `lagMs` old. */
  latest() {
    const nowMs = this.clock.now();
    const latestMs = nowMs - this.lagMs;
    const shown = this.samples.findLast(({atMs}) => atMs <= latestMs);
    const {atMs, running, queued} = shown ?? {
      atMs: nowMs,
      running: 0,
      queued: 0,
    };
    return {running, queued, kvBytes: 0, ageMs: nowMs - atMs};
  }
}

/** Events of the prefix cache; every seventh one is lost. */
export class CacheEvents {
  private sequence = 0;
  private readonly events: CacheEvent[] = [];

  /** Records that the prefix of a text was stored. */
  recordPrefix(text: string): void {
    this.sequence += 1;
    if (this.sequence % LOST_EVENT_INTERVAL === 0) return;
    const start = text.slice(0, PREFIX_CHARS);
    const prefix = createHash('sha256').update(start).digest('hex');
    this.events.push({sequence: this.sequence, kind: 'stored', prefix});
    if (this.events.length > MAX_CACHE_EVENTS) this.events.shift();
  }

  /** @returns the retained events after a sequence number. */
  after(sequence: number): CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence);
  }
}
