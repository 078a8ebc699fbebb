/** Signals that targets send about themselves with their answers. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Signals about the target that an answer carries. */
export interface AnswerSignals {
  /** Whether the target is shutting down and wants no new requests. */
  isLeaving: boolean;
  /**
   * Time for which this host must not send requests to the target, in
   * milliseconds; undefined if the target named none.
   */
  backOffMs: number | undefined;
  /**
   * Requests per second that the target takes from all hosts together;
   * undefined if it named no limit.
   */
  requestsPerSecond: number | undefined;
}

/** Signals of an answer without any. */
export const NO_SIGNALS: AnswerSignals = {
  isLeaving: false,
  backOffMs: undefined,
  requestsPerSecond: undefined,
};

/** What a target said about its limit. */
export interface NamedLimit {
  /** Requests per second from all hosts; undefined if there is no limit. */
  perSecond: number | undefined;
  /** Clock time at which the target said so. */
  namedMs: number;
}

/**
 * Maximum number of processes kept: several times the targets of a platform.
 */
const MAX_PROCESSES = 8_192;

/** Accumulated signals of one process of a target. */
export class ProcessSignals {
  /** Whether the process has signalled that it is leaving; this is final. */
  isLeaving = false;
  /** Clock time at which the process was last seen to have ended. */
  endedMs = -Infinity;
  /** Clock time until which this host must not send requests to the process. */
  backOffUntilMs = -Infinity;
  /** What the process last said about its limit. */
  limit: NamedLimit = {perSecond: undefined, namedMs: -Infinity};
  /** Whether the process has ever named a limit. */
  hasNamedLimit = false;
  /** Clock time at which the limit last changed, as known here. */
  limitChangedMs = -Infinity;

  /** @param startedMs - start time of the process, Unix milliseconds. */
  constructor(readonly startedMs: number) {}
}

/**
 * Stores the signals of the newest process of each target. They are kept when
 * the registration of the target ends, because it may expire and be renewed
 * while the process keeps running.
 */
export class SignalTable {
  private readonly byId = new Map<string, ProcessSignals>();

  /** @param clock - measures the back-off times. */
  constructor(private readonly clock: Clock) {}

  /**
   * Returns the signals of a process, creating an entry if there is none.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   * @returns the signals, which may be modified.
   */
  forProcess(id: string, startedMs: number): ProcessSignals {
    const known = this.byId.get(id);
    if (known?.startedMs === startedMs) return known;
    const signals = new ProcessSignals(startedMs);
    // Deleted first, so that the first entry is always the oldest.
    this.byId.delete(id);
    this.byId.set(id, signals);
    if (this.byId.size > MAX_PROCESSES) this.dropOldest();
    return signals;
  }

  /**
   * Checks whether a newer process of the target is known.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   * @returns whether the process is outdated.
   */
  isOutdated(id: string, startedMs: number): boolean {
    const known = this.byId.get(id);
    return known !== undefined && startedMs < known.startedMs;
  }

  /**
   * Records a back-off time. A shorter time does not replace a longer one.
   *
   * @param signals - signals of the process.
   * @param backOffMs - the back-off time, in milliseconds.
   */
  recordBackOff(signals: ProcessSignals, backOffMs: number): void {
    const untilMs = this.clock.now() + backOffMs;
    signals.backOffUntilMs = Math.max(signals.backOffUntilMs, untilMs);
  }

  /**
   * Records what a process said about its limit, unless it said something else
   * later.
   *
   * @param signals - signals of the process.
   * @param limit - the limit.
   * @returns whether the limit has changed.
   */
  recordLimit(signals: ProcessSignals, limit: NamedLimit): boolean {
    const known = signals.limit;
    if (limit.namedMs < known.namedMs) return false;
    signals.limit = limit;
    if (limit.perSecond !== undefined) signals.hasNamedLimit = true;
    if (limit.perSecond === known.perSecond) return false;
    signals.limitChangedMs = this.clock.now();
    return true;
  }

  private dropOldest(): void {
    for (const id of this.byId.keys()) {
      this.byId.delete(id);
      return;
    }
  }
}
