/** What processes of targets have said of themselves in their answers. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** What an answer says of the target that gave it, besides the answer. */
export interface AnswerSigns {
  /** Whether the target leaves: it wants no new requests. */
  isLeaving: boolean;
  /**
   * Time for which the target wants nothing from this host, in milliseconds;
   * undefined if it named none.
   */
  quietMs: number | undefined;
}

/** Signs of an answer that says nothing of its target. */
export const NO_SIGNS: AnswerSigns = {isLeaving: false, quietMs: undefined};

/** Processes that are remembered: some times those that a platform lists. */
const MAX_PROCESSES = 8_192;

/** What is remembered of one process of a target. */
export class ProcessSigns {
  /** Whether it has said that it leaves; a process never takes that back. */
  isLeaving = false;
  /** Clock time up to which it wants nothing from this host. */
  quietUntilMs = -Infinity;

  /** @param startedMs - start of the process, Unix milliseconds. */
  constructor(readonly startedMs: number) {}
}

/**
 * Remembers the signs of the newest process of each target. They outlive the
 * target's place on the platform's list, which may lapse and come back while
 * the process goes on.
 */
export class SignBook {
  private readonly byId = new Map<string, ProcessSigns>();

  /** @param clock - measures how long targets want nothing. */
  constructor(private readonly clock: Clock) {}

  /**
   * @param id - of the target.
   * @param startedMs - of its process, Unix milliseconds.
   * @returns the signs of the process, kept from now on.
   */
  of(id: string, startedMs: number): ProcessSigns {
    const known = this.byId.get(id);
    if (known?.startedMs === startedMs) return known;
    const signs = new ProcessSigns(startedMs);
    // Taken out first, so that the oldest entry is always the first.
    this.byId.delete(id);
    this.byId.set(id, signs);
    if (this.byId.size > MAX_PROCESSES) this.dropOldest();
    return signs;
  }

  /** @returns whether a newer process of the target is known. */
  isOlder(id: string, startedMs: number): boolean {
    const known = this.byId.get(id);
    return known !== undefined && startedMs < known.startedMs;
  }

  /**
   * Notes for how long a process wants nothing from this host; a shorter time
   * does not end a longer one.
   */
  noteQuiet(signs: ProcessSigns, quietMs: number): void {
    const untilMs = this.clock.now() + quietMs;
    signs.quietUntilMs = Math.max(signs.quietUntilMs, untilMs);
  }

  private dropOldest(): void {
    for (const id of this.byId.keys()) {
      this.byId.delete(id);
      return;
    }
  }
}
