/** Compares the targets' orders and replicas with the recorded decisions. @packageDocumentation */

import {LocalCluster} from './local_cluster.js';

const SAMPLE_INTERVAL_MS = 5;

interface DecisionBody {
  type: string;
  body?: {decision?: {id: string; kind: string}};
}

/** Samples the targets of a cluster until {@link PlacementAudit.stop}. */
export class PlacementAudit {
  /** Maximum number of replicas over all targets in any sample, by model. */
  readonly maxReplicas = new Map<string, number>();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  constructor(private readonly cluster: LocalCluster) {}

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** @returns the ids of load and evict orders without a recorded decision. */
  undecidedOrders(): string[] {
    const decided = this.decisionIds();
    return this.orders(['load', 'evict'])
      .map(({id}) => id)
      .filter(id => !decided.has(id.replace(/\.evict\.\d+$/, '')));
  }

  /** @returns the ids of all decisions on the log, in log order. */
  decisionIds(): Set<string> {
    const ids = new Set<string>();
    for (const stream of this.cluster.log.streamNames()) {
      for (const {body} of this.cluster.log.records(stream)) {
        const {type, body: content} = body as DecisionBody;
        const id = content?.decision?.id;
        if (type === 'replica-decision' && id !== undefined) ids.add(id);
      }
    }
    return ids;
  }

  /** @returns the executed orders of the given kinds at all targets. */
  orders(kinds: readonly string[]) {
    return [...this.cluster.engines.values()].flatMap(({orders}) =>
      orders.filter(({order}) => kinds.includes(order.kind)),
    );
  }

  /** @returns how often a load order exceeded the memory of its target. */
  overcommits(): number {
    let count = 0;
    for (const {memory} of this.cluster.engines.values()) {
      count += memory.overcommits;
    }
    return count;
  }

  private sample(): void {
    const held = new Map<string, number>();
    for (const {memory} of this.cluster.engines.values()) {
      for (const {model} of memory.inventory().residents) {
        held.set(model, (held.get(model) ?? 0) + 1);
      }
    }
    for (const [model, count] of held) {
      const most = this.maxReplicas.get(model) ?? 0;
      this.maxReplicas.set(model, Math.max(most, count));
    }
  }
}
