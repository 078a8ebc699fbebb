/** Compares what targets were ordered and hold with what was decided. @packageDocumentation */

import {LocalCluster} from './local_cluster.js';

const SAMPLE_INTERVAL_MS = 5;

interface DecisionBody {
  type: string;
  body?: {decision?: {id: string; kind: string}};
}

/** Watches a cluster's targets from its start to {@link PlacementAudit.stop}. */
export class PlacementAudit {
  /** Most replicas that the targets held together at any sample, by model. */
  readonly mostReplicas = new Map<string, number>();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  constructor(private readonly cluster: LocalCluster) {}

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** @returns ids of load and evict orders without a recorded decision. */
  undecidedOrders(): string[] {
    const decided = this.decisionIds();
    return this.orders(['load', 'evict'])
      .map(({id}) => id)
      .filter(id => !decided.has(id.replace(/\.evict\.\d+$/, '')));
  }

  /** @returns decisions on the log, in their order. */
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

  /** @returns orders of some kinds that any target carried out. */
  orders(kinds: readonly string[]) {
    return [...this.cluster.engines.values()].flatMap(({orders}) =>
      orders.filter(({order}) => kinds.includes(order.kind)),
    );
  }

  /** @returns how often a target was ordered beyond its memory. */
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
      const most = this.mostReplicas.get(model) ?? 0;
      this.mostReplicas.set(model, Math.max(most, count));
    }
  }
}
