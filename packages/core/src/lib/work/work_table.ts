/** The work that hosts report, summed by target. @packageDocumentation */

import {TargetReport, decodeWork} from './work_messages.js';
import {HostWork} from './work_reports.js';
import {addWork, noWork} from './target_work.js';

/** Sums of a target over all hosts. */
interface TargetSums {
  work: TargetReport;
  /** Sum of the paces of hosts, each multiplied by its observations. */
  weightedLog: number;
}

/** Sums the reports of all hosts; kept by the lease holder. */
export class WorkTable {
  private readonly hosts = new Map<string, Map<string, TargetReport>>();
  private readonly sums = new Map<string, TargetSums>();
  private readonly changedIds = new Set<string>();

  /** Adds a host's report. */
  report(host: string, {entries, isFull}: HostWork): void {
    if (isFull) this.remove(host);
    let targets = this.hosts.get(host);
    if (targets === undefined) this.hosts.set(host, (targets = new Map()));
    for (const entry of entries) {
      const [id] = entry;
      const earlier = targets.get(id);
      if (earlier !== undefined) this.add(id, earlier, -1);
      const report = decodeWork(entry);
      targets.set(id, report);
      this.add(id, report, 1);
    }
  }

  /** Removes the reports of a host. */
  remove(host: string): void {
    for (const [id, report] of this.hosts.get(host) ?? [])
      this.add(id, report, -1);
    this.hosts.delete(host);
  }

  /**
   * Returns the work of all hosts at a target.
   *
   * @param id - id of the target.
   * @returns undefined if no host has reported any.
   */
  get(id: string): TargetReport | undefined {
    return this.sums.get(id)?.work;
  }

  /** Returns the ids of the targets that were reported since the last call. */
  takeChanged(): string[] {
    const ids = [...this.changedIds];
    this.changedIds.clear();
    return ids;
  }

  private add(id: string, {sums, pace}: TargetReport, sign: 1 | -1): void {
    this.changedIds.add(id);
    let target = this.sums.get(id);
    if (target === undefined) {
      const work = {sums: noWork(), pace: {log: 0, count: 0}};
      target = {work, weightedLog: 0};
      this.sums.set(id, target);
    }
    const {work} = target;
    addWork(work.sums, sums, sign);
    work.pace.count += sign * pace.count;
    target.weightedLog += sign * pace.count * pace.log;
    work.pace.log =
      work.pace.count === 0 ? 0 : target.weightedLog / work.pace.count;
    const isEmpty = work.pace.count === 0 && work.sums.memoryTokens === 0;
    const requests = work.sums.waiting + work.sums.running;
    if (isEmpty && requests === 0) this.sums.delete(id);
  }
}
