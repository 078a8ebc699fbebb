/** Divides the teams' rates between the hosts. @packageDocumentation */

import {DecayingRate} from '../limits/decaying_rate.js';
import {Clock} from '../time/clock.js';

/** Part of a rate that is divided equally, whatever the demand. */
export const EQUAL_PART = 0.3;

/** Window over which a host's demand is measured. */
const DEMAND_WINDOW_MS = 3_000;

/** How long the part of a host that went silent is kept for it. */
const SILENT_LIFE_MS = 6_000;

interface HostDemand {
  heardMs: number;
  teams: Map<string, DecayingRate>;
}

/**
 * The parts of all hosts add up to one. A host that went silent keeps its part
 * for a while, since it may go on using it.
 */
export class HostShares {
  private readonly hosts = new Map<string, HostDemand>();

  /** @param clock - measures demand and silence. */
  constructor(private readonly clock: Clock) {}

  /** Number of hosts that have a part. */
  get size(): number {
    return this.hosts.size;
  }

  /** Notes what the teams asked of a host since its last report. */
  report(
    host: string,
    demand: ReadonlyArray<readonly [team: string, tokens: number]>,
  ): void {
    const known = this.hosts.get(host);
    const teams = known?.teams ?? new Map<string, DecayingRate>();
    this.hosts.set(host, {heardMs: this.clock.now(), teams});
    for (const [team, tokens] of demand) {
      let rate = teams.get(team);
      if (rate === undefined) {
        rate = new DecayingRate(this.clock, DEMAND_WINDOW_MS);
        teams.set(team, rate);
      }
      rate.add(tokens);
    }
  }

  /** Forgets hosts that have been silent for long. */
  prune(): void {
    const nowMs = this.clock.now();
    for (const [host, {heardMs}] of this.hosts) {
      if (nowMs - heardMs > SILENT_LIFE_MS) this.hosts.delete(host);
    }
  }

  /**
   * @param host - a host that has reported.
   * @param teams - names of the teams with a rate.
   * @returns its part of each team's rate.
   */
  sharesOf(host: string, teams: Iterable<string>): Array<[string, number]> {
    const shares: Array<[string, number]> = [];
    for (const team of teams) shares.push([team, this.shareOf(host, team)]);
    return shares;
  }

  private shareOf(host: string, team: string): number {
    const equal = 1 / Math.max(1, this.hosts.size);
    let total = 0;
    for (const {teams} of this.hosts.values()) {
      total += teams.get(team)?.value ?? 0;
    }
    if (total <= 0) return equal;
    const own = this.hosts.get(host)?.teams.get(team)?.value ?? 0;
    return EQUAL_PART * equal + (1 - EQUAL_PART) * (own / total);
  }
}
