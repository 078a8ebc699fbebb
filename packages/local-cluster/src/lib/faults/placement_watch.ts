/** Samples of what targets hold and hosts report during a run. @packageDocumentation */

import {FaultScene, MAX_REPLICAS} from './fault_scene.js';

const SAMPLE_INTERVAL_MS = 50;

/** A target that has announced that it will leave. */
export interface Leave {
  target: string;
  /** Times on the clock of this process, in milliseconds. */
  fromMs: number;
  toMs: number | undefined;
}

/** Watches the stand-ins and the hosts' versions. */
export class PlacementWatch {
  /** Violations of the replica count, as texts. */
  readonly excess: string[] = [];
  /** Versions that went back, as texts. */
  readonly reversions: string[] = [];
  readonly leaves: Leave[] = [];
  private readonly versions = new Map<object, number>();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  constructor(private readonly scene: FaultScene) {}

  /** Ends the watch. */
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
