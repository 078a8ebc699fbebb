/** Requests of a zone that wait for replicas, and past use of models. @packageDocumentation */

const USE_HALF_LIFE_MS = 6 * 3_600_000;
const LN_2 = Math.log(2);

/**
 * Waiting requests of one model and adapter from one source. The zone
 * controller gives each open call of a host an id of its own as `host`.
 */
export interface HostDemand {
  host: string;
  model: string;
  adapter?: string;
  waiting: number;
  /**
   * Clock time by which the most urgent request must start, in milliseconds.
   */
  deadlineMs: number;
}

/** Waiting requests of one model and adapter, over all hosts. */
export interface WaitingWork {
  model: string;
  adapter?: string;
  waiting: number;
  deadlineMs: number;
  /** Clock time since when requests have been waiting, in milliseconds. */
  sinceMs: number;
}

interface ModelUse {
  /**
   * Number of wake-ups, decayed with a half-life of {@link USE_HALF_LIFE_MS}.
   */
  wakeUpScore: number;
  scoredMs: number;
  lastUsedMs: number;
}

/**
 * Aggregates waiting requests by model and adapter over all hosts, and tracks
 * when and how often each model is used.
 */
export class WaitingDemand {
  private readonly byKey = new Map<string, Map<string, HostDemand>>();
  private readonly sinceMs = new Map<string, number>();
  private readonly uses = new Map<string, ModelUse>();

  /** Sets what waits at a host, replacing its previous demand. */
  set(demand: HostDemand, nowMs: number): void {
    const key = demandKey(demand.model, demand.adapter);
    const hosts = this.byKey.get(key) ?? new Map<string, HostDemand>();
    if (hosts.size === 0) {
      this.byKey.set(key, hosts);
      this.sinceMs.set(key, nowMs);
      this.recordWakeUp(demand.model, nowMs);
    }
    hosts.set(demand.host, demand);
  }

  /** Removes the demand of a host. */
  remove(host: string, model: string, adapter?: string): void {
    const key = demandKey(model, adapter);
    const hosts = this.byKey.get(key);
    hosts?.delete(host);
    if (hosts?.size !== 0) return;
    this.byKey.delete(key);
    this.sinceMs.delete(key);
  }

  /** Returns whether any request waits for a model. */
  hasDemandFor(model: string): boolean {
    return this.all().some(work => work.model === model);
  }

  /** Returns the waiting work of all models and adapters. */
  all(): WaitingWork[] {
    return [...this.byKey].map(([key, hosts]) => {
      const demands = [...hosts.values()];
      const [{model, adapter}] = demands;
      return {
        model,
        adapter,
        waiting: demands.reduce((sum, {waiting}) => sum + waiting, 0),
        deadlineMs: Math.min(...demands.map(({deadlineMs}) => deadlineMs)),
        sinceMs: this.sinceMs.get(key)!,
      };
    });
  }

  /** Records that a model is in use. */
  recordUse(model: string, nowMs: number): void {
    const use = this.uses.get(model);
    if (use === undefined) this.recordWakeUp(model, nowMs);
    else use.lastUsedMs = nowMs;
  }

  /** Returns the clock time of the model's last use, or undefined. */
  lastUsedMs(model: string): number | undefined {
    return this.uses.get(model)?.lastUsedMs;
  }

  /** Returns the expected wake-ups of a model in an hour, from its past use. */
  wakeUpsPerHour(model: string, nowMs: number): number {
    const use = this.uses.get(model);
    if (use === undefined) return 0;
    const decayed = use.wakeUpScore * decay(nowMs - use.scoredMs);
    return (decayed * LN_2 * 3_600_000) / USE_HALF_LIFE_MS;
  }

  private recordWakeUp(model: string, nowMs: number): void {
    const use = this.uses.get(model);
    const score =
      (use?.wakeUpScore ?? 0) * decay(nowMs - (use?.scoredMs ?? nowMs));
    this.uses.set(model, {
      wakeUpScore: score + 1,
      scoredMs: nowMs,
      lastUsedMs: nowMs,
    });
  }
}

function decay(ageMs: number): number {
  return 2 ** (-ageMs / USE_HALF_LIFE_MS);
}

function demandKey(model: string, adapter: string | undefined): string {
  return `${model}\n${adapter ?? ''}`;
}
