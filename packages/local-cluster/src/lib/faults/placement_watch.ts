/** Samples the targets' replicas and the hosts' versions during a fault run. @packageDocumentation */

import {FaultScene, MAX_REPLICAS} from './fault_scene.js';

const SAMPLE_INTERVAL_MS = 50;

/** Period during which a target announces that it is leaving. */
export interface Leave {
  target: string;
  /** Times on the clock of this process, in milliseconds. */
  fromMs: number;
  toMs: number | undefined;
}

/** Samples the stand-ins and the configuration versions of the hosts. */
export class PlacementWatch {
  /** Descriptions of violations of the replica limit. */
  readonly excess: string[] = [];
  /** Descriptions of configuration versions that decreased. */
  readonly reversions: string[] = [];
  readonly leaves: Leave[] = [];
  private readonly versions = new Map<object, number>();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  constructor(private readonly scene: FaultScene) {}

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    for (const model of this.scene.models) this.countReplicas(model);
    for (const [name, engine] of this.scene.cluster.engines) {
      this.noteLeaving(name, engine.leaving);
    }
    for (const [host, daemon] of this.scene.cluster.daemons) {
      const before = this.versions.get(daemon) ?? 0;
      const now = daemon.configVersion;
      if (now < before) this.reversions.push(`${host}: ${before} to ${now}`);
      this.versions.set(daemon, now);
    }
  }

  private countReplicas(model: string): void {
    let replicas = 0;
    for (const {memory} of this.scene.cluster.engines.values()) {
      const {residents} = memory.inventory();
      replicas += residents.filter(held => held.model === model).length;
    }
    if (replicas <= MAX_REPLICAS) return;
    this.excess.push(`${replicas} replicas of ${model}`);
  }

  private noteLeaving(target: string, leaving: boolean): void {
    const open = this.leaves.find(
      leave => leave.target === target && leave.toMs === undefined,
    );
    const nowMs = performance.now();
    if (leaving && open === undefined) {
      this.leaves.push({target, fromMs: nowMs, toMs: undefined});
    }
    if (!leaving && open !== undefined) open.toMs = nowMs;
  }
}
