/** Reports of hosts about the processes of targets. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {TargetRegistration} from './target_registration.js';

/** A process of a target. */
export interface TargetProcess {
  /** Id of the target. */
  target: string;
  /** Start time of the process, Unix milliseconds. */
  startedMs: number;
}

/** Tells the reader something about a process of a target. */
export type ProcessReport = PeerMethod<TargetProcess, never>;

/**
 * Returns a kind of report.
 *
 * @param name - its name between hosts.
 */
export function processReport(name: string): ProcessReport {
  return {
    name,
    body: z.object({target: z.string(), startedMs: z.number()}),
    event: z.never(),
  };
}

/** Dependencies of {@link ProcessReports}. */
export interface ProcessReportsParts {
  network: PeerNetwork;
  /** The host that distributes the targets, while its messages arrive. */
  reader: () => {host: string; incarnation: string} | undefined;
  /** Tells all hosts of changes, if this host is the reader. */
  broadcast: () => void;
  /** Applies the report of another host. */
  apply: (process: TargetProcess) => void;
}

/**
 * Tells all hosts what one of them has seen of a process, by way of the reader.
 * Reports wait while there is no reader.
 */
export class ProcessReports {
  /** Start times of processes that are not reported yet, by target. */
  private readonly unsent = new Map<string, number>();

  /**
   * @param report - the kind of report.
   * @param parts - see {@link ProcessReportsParts}.
   */
  constructor(
    private readonly report: ProcessReport,
    private readonly parts: ProcessReportsParts,
  ) {
    parts.network.onNotification(report, process => parts.apply(process));
  }

  /** Adds a process, and reports it. */
  add({id, startedMs}: TargetRegistration): void {
    this.unsent.set(id, startedMs);
    this.send();
  }

  /** Sends the reports that wait, if there is a reader. */
  send(): void {
    const {broadcast, network} = this.parts;
    const reader = this.parts.reader();
    if (reader === undefined || this.unsent.size === 0) return;
    if (reader.incarnation === network.self.incarnation) {
      this.unsent.clear();
      broadcast();
      return;
    }
    for (const [target, startedMs] of this.unsent) {
      const process = {target, startedMs};
      const isSent = network.notify(reader.host, this.report, process);
      if (isSent) this.unsent.delete(target);
    }
  }
}
