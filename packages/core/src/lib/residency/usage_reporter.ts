/** Reports this host's requests and demand to the lease holder. @packageDocumentation */

import {TargetTable} from '../gateway/target_table.js';
import {PathReport} from '../paths/path_messages.js';
import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {WorkReports} from '../work/work_reports.js';
import {DemandRates} from './demand_rates.js';
import {HostCounter} from './host_counter.js';
import {OrderLease} from './order_lease.js';
import {HOST_USAGE, UsageBody} from './residency_messages.js';

/** Shortest time between reports of a host. */
const REPORT_INTERVAL_MS = 100;

/**
 * Time between reports for each host that there is, so that the holder's work
 * does not grow with the square of the number of hosts.
 */
const REPORT_MS_PER_HOST = 5;

/** Time after which a report without changes is sent. */
const HEARTBEAT_MS = 300;

/** Report intervals between two reports of the demand for models. */
const DEMAND_INTERVALS = 5;

/** Time between reports of unchanged paths. */
const PATH_INTERVAL_MS = 1_000;

/** Dependencies of {@link UsageReporter}. */
export interface UsageReporterParts {
  clock: Clock;
  lease: OrderLease;
  targets: TargetTable;
  demand: DemandRates;
  hostCounter: HostCounter;
  /** Returns the tokens of each team used here in the last window, if known. */
  usedTokens: () => Array<[string, number]> | undefined;
  network: PeerNetwork;
  /** Returns the state of this host's paths, if it helps other hosts. */
  pathReport?: () => PathReport;
  /** Handles a report of this host, if it is the holder itself. */
  handleReport: (from: PeerIdentity, report: UsageBody) => void;
}

/** Reports changes at intervals, and everything to a new holder at once. */
export class UsageReporter {
  private sentMs = -Infinity;
  private lastInFlightJson = '';
  private lastHolder = '';
  private demandSentMs = -Infinity;
  private lastDemandHolder = '';
  private pathSentMs = -Infinity;
  private lastPath: PathReport | undefined;

  private readonly workReports: WorkReports;

  /** @param parts - see {@link UsageReporterParts}. */
  constructor(private readonly parts: UsageReporterParts) {
    this.workReports = new WorkReports(parts.clock, parts.targets);
  }

  /**
   * Sends reports until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const isSent = this.send();
      // The holder sends this host no view before it has received a report.
      await clock.sleep(isSent ? this.intervalMs : REPORT_INTERVAL_MS, signal);
    }
  }

  private get intervalMs(): number {
    const hosts = this.parts.hostCounter.count ?? 1;
    return Math.max(REPORT_INTERVAL_MS, hosts * REPORT_MS_PER_HOST);
  }

  /** Sends a report if one is due; returns whether the holder is up to date. */
  private send(): boolean {
    const {clock, demand, lease, network, handleReport, usedTokens} =
      this.parts;
    const {holder: leaseHolder} = lease;
    if (leaseHolder === undefined) return false;
    const nowMs = clock.now();
    const inFlight = this.inFlight();
    const text = JSON.stringify(inFlight);
    const isChanged = text !== this.lastInFlightJson;
    const isNewHolder = leaseHolder.incarnation !== this.lastHolder;
    const path = this.parts.pathReport?.();
    const isPathChanged = !isSameStanding(path, this.lastPath);
    const isDue =
      isChanged || isPathChanged || nowMs - this.sentMs >= HEARTBEAT_MS;
    if (!isDue && !isNewHolder) return true;
    const shouldSendDemand =
      leaseHolder.incarnation !== this.lastDemandHolder ||
      nowMs - this.demandSentMs >= DEMAND_INTERVALS * this.intervalMs;
    const isPathDue =
      isNewHolder ||
      isPathChanged ||
      nowMs - this.pathSentMs >= PATH_INTERVAL_MS;
    const body: UsageBody = {
      usedTokens: isNewHolder ? usedTokens() : undefined,
      successorRankMs: lease.successorRankMs,
      inFlight,
      work: this.workReports.take(isNewHolder),
      demand: shouldSendDemand ? demand.rates() : undefined,
      path: isPathDue ? path : undefined,
    };
    if (lease.isHeld) handleReport(network.self, body);
    else if (!network.notify(leaseHolder.host, HOST_USAGE, body)) {
      this.workReports.recordLost();
      return false;
    }
    this.lastInFlightJson = text;
    this.sentMs = nowMs;
    this.lastHolder = leaseHolder.incarnation;
    if (isPathDue) this.pathSentMs = nowMs;
    this.lastPath = path;
    if (!shouldSendDemand) return true;
    this.demandSentMs = nowMs;
    this.lastDemandHolder = leaseHolder.incarnation;
    return true;
  }

  private inFlight(): Array<[string, string, number]> {
    const all: Array<[string, string, number]> = [];
    for (const target of this.parts.targets.all()) {
      for (const [key, count] of target.inFlightByModel) {
        all.push([target.registration.id, key, count]);
      }
    }
    return all;
  }
}

/** Returns whether two reports differ in nothing but the load. */
function isSameStanding(
  a: PathReport | undefined,
  b: PathReport | undefined,
): boolean {
  return a?.isSound === b?.isSound && a?.isStopping === b?.isStopping;
}
