/** Samples the targets' replicas and the hosts' versions during a fault run. @packageDocumentation */

import {FaultScenario, MAX_REPLICAS} from './fault_scenario.js';

const SAMPLE_INTERVAL_MS = 50;

/** Period during which a target announces that it is leaving. */
export interface LeavePeriod {
  target: string;
  /** Times on the clock of this process, in milliseconds. */
  fromMs: number;
  toMs: number | undefined;
}

/** Samples the stand-ins and the configuration versions of the hosts. */
export class PlacementMonitor {
  /** Descriptions of violations of the replica limit. */
  readonly replicaViolations: string[] = [];
  /** Descriptions of configuration versions that decreased. */
  readonly versionRegressions: string[] = [];
  readonly leavePeriods: LeavePeriod[] = [];
  private readonly versions = new Map<object, number>();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  constructor(private readonly scenario: FaultScenario) {}

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    for (const model of this.scenario.models) this.countReplicas(model);
    for (const [name, engine] of this.scenario.cluster.engines) {
      this.recordLeaving(name, engine.leaving);
    }
    for (const [host, daemon] of this.scenario.cluster.daemons) {
      const before = this.versions.get(daemon) ?? 0;
      const now = daemon.configVersion;
      if (now < before)
        this.versionRegressions.push(`${host}: ${before} to ${now}`);
      this.versions.set(daemon, now);
    }
  }

  private countReplicas(model: string): void {
    let replicas = 0;
    for (const {memory} of this.scenario.cluster.engines.values()) {
      const {residents} = memory.inventory();
      replicas += residents.filter(held => held.model === model).length;
    }
    if (replicas <= MAX_REPLICAS) return;
    this.replicaViolations.push(`${replicas} replicas of ${model}`);
  }

  private recordLeaving(target: string, leaving: boolean): void {
    const open = this.leavePeriods.find(
      leave => leave.target === target && leave.toMs === undefined,
    );
    const nowMs = performance.now();
    if (leaving && open === undefined) {
      this.leavePeriods.push({target, fromMs: nowMs, toMs: undefined});
    }
    if (!leaving && open !== undefined) open.toMs = nowMs;
  }
}
