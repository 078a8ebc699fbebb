/** Who could follow the holder of the order lease. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Age of a host's last report up to which it counts as there. */
const HEARD_MS = 1_000;

interface Candidate {
  rankMs: number;
  heardMs: number;
}

/** Keeps what hosts say of themselves as successors. */
export class SuccessorBook {
  private readonly candidates = new Map<string, Candidate>();

  /** @param clock - measures the age of reports. */
  constructor(private readonly clock: Clock) {}

  /**
   * @param host - who reports.
   * @param rankMs - how late it comes, in milliseconds.
   */
  note(host: string, rankMs: number): void {
    this.candidates.set(host, {rankMs, heardMs: this.clock.now()});
  }

  /**
   * @param hosts - who can be told.
   * @returns the one of them that comes first, of those heard lately.
   */
  best(hosts: readonly string[]): string | undefined {
    const sinceMs = this.clock.now() - HEARD_MS;
    let best: string | undefined;
    let bestMs = Infinity;
    for (const host of hosts) {
      const candidate = this.candidates.get(host);
      if (candidate === undefined || candidate.heardMs < sinceMs) continue;
      if (candidate.rankMs >= bestMs) continue;
      best = host;
      bestMs = candidate.rankMs;
    }
    return best;
  }
}
