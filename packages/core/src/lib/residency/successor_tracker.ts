/** Tracks candidates for the next holder of the order lease. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Age of a host's last report up to which the host counts as alive. */
const REPORT_LIFETIME_MS = 1_000;

interface Candidate {
  rankMs: number;
  heardMs: number;
  /** Whether the host reaches the targets. */
  isFit: boolean;
}

/** Keeps the successor ranks that hosts report. */
export class SuccessorTracker {
  private readonly candidates = new Map<string, Candidate>();

  /** @param clock - clock for the age of reports. */
  constructor(private readonly clock: Clock) {}

  /**
   * Records a report.
   *
   * @param host - host that reports.
   * @param rankMs - rank of the host in milliseconds; the lowest is best.
   * @param reachesTargets - whether the host could send orders; as before if
   *     undefined, and true by default.
   */
  record(
    host: string,
    rankMs: number,
    reachesTargets = this.candidates.get(host)?.isFit ?? true,
  ): void {
    const heardMs = this.clock.now();
    this.candidates.set(host, {rankMs, heardMs, isFit: reachesTargets});
  }

  /**
   * Returns the best candidate.
   *
   * @param hosts - hosts that can be notified.
   * @returns the host with the lowest rank of those that reported lately.
   */
  best(hosts: readonly string[]): string | undefined {
    const sinceMs = this.clock.now() - REPORT_LIFETIME_MS;
    let best: string | undefined;
    let bestMs = Infinity;
    for (const host of hosts) {
      const candidate = this.candidates.get(host);
      if (candidate === undefined || candidate.heardMs < sinceMs) continue;
      if (!candidate.isFit || candidate.rankMs >= bestMs) continue;
      best = host;
      bestMs = candidate.rankMs;
    }
    return best;
  }
}
