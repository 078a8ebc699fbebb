/** The helper hosts that the lease holder knows. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {HelperHost, PathReport} from './path_messages.js';

/** Largest number of helper hosts that a host is told. */
const MAX_HELPERS = 6;

/**
 * Most of them in the zone of the host that asks: a whole zone may be cut off
 * before its hosts have noticed.
 */
const MAX_NEAR_HELPERS = 4;

/** Age up to which a report counts; the largest fleets report every 1.7 s. */
const REPORT_LIFETIME_MS = 4_000;

/** Load from which a host counts as full. */
const FULL_LOAD = 0.9;

/** Difference of the load that random order outweighs. */
const LOAD_NOISE = 0.25;

interface KnownHost {
  report: PathReport;
  heardMs: number;
}

/** Keeps what hosts report about their paths. */
export class HelperTable {
  private readonly byHost = new Map<string, KnownHost>();

  /**
   * @param clock - measures the age of reports.
   * @param random - spreads the hosts that ask.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Records a report of a host. */
  record(host: string, report: PathReport): void {
    this.byHost.set(host, {report, heardMs: this.clock.now()});
  }

  /** Returns whether any other host is known to reach the targets. */
  hasSoundHost(except: string): boolean {
    this.prune();
    for (const [host, {report}] of this.byHost) {
      if (host !== except && report.isSound && !report.isStopping) return true;
    }
    return false;
  }

  /**
   * Lists hosts that can help, those of the asker's zone first.
   *
   * @param asker - the host that asks.
   * @param zone - its zone.
   */
  list(asker: string, zone: string): HelperHost[] {
    this.prune();
    const near: Array<[HelperHost, number]> = [];
    const far: Array<[HelperHost, number]> = [];
    for (const [host, {report}] of this.byHost) {
      const {isSound, isStopping, load, tunnel} = report;
      if (host === asker || !isSound || isStopping || load >= FULL_LOAD)
        continue;
      const order = load + this.random.float() * LOAD_NOISE;
      const helper = {host, zone: report.zone, tunnel, load};
      (report.zone === zone ? near : far).push([helper, order]);
    }
    const sorted = (hosts: Array<[HelperHost, number]>) =>
      hosts.sort(([, a], [, b]) => a - b).map(([helper]) => helper);
    const nearest = sorted(near);
    const nearCount = Math.max(MAX_NEAR_HELPERS, MAX_HELPERS - far.length);
    return [...nearest.slice(0, nearCount), ...sorted(far)].slice(
      0,
      MAX_HELPERS,
    );
  }

  private prune(): void {
    const sinceMs = this.clock.now() - REPORT_LIFETIME_MS;
    for (const [host, {heardMs}] of this.byHost) {
      if (heardMs < sinceMs) this.byHost.delete(host);
    }
  }
}
