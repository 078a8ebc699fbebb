/** What the configuration says about a zone's replicas. @packageDocumentation */

import {Declarations} from '../config/declared.js';
import {replicaParts} from './replica_parts.js';
import {ModelVersion, TargetFacts} from './target_account.js';

/** What a replica of a model needs and how many there may be. */
export interface ReplicaNeed extends ModelVersion {
  /** Weights and kept KV memory, in bytes. */
  bytes: number;
  weightBytes: number;
  /** Replicas that this zone may hold. */
  part: number;
}

/** Reads the configuration in force for one zone. */
export class ReplicaCatalog {
  private cachedFor: Declarations | undefined;
  private readonly needs = new Map<string, ReplicaNeed | undefined>();

  /**
   * @param zone - name of the zone.
   * @param declared - gives the configuration in force.
   */
  constructor(
    private readonly zone: string,
    private readonly declared: () => Declarations,
  ) {}

  /** @returns what a model needs, or undefined if it is not declared. */
  need(model: string): ReplicaNeed | undefined {
    const declared = this.current();
    if (!this.needs.has(model)) {
      this.needs.set(model, this.lookUp(declared, model));
    }
    return this.needs.get(model);
  }

  /** @returns the size of an adapter of a model, if it is declared. */
  adapterBytes(model: string, adapter: string): number | undefined {
    const fields = this.current().get('adapter', adapter);
    return fields?.model === model ? fields.size : undefined;
  }

  /** @returns the KV memory to keep for a replica: one full context. */
  kvBytes({version}: ModelVersion): number {
    const fields = this.current().get('version', version);
    return fields === undefined ? 0 : fields.kv_per_token * fields.context;
  }

  /** @returns the engines of this zone. */
  targets(): TargetFacts[] {
    const facts: TargetFacts[] = [];
    for (const [name, target] of this.current().all('target')) {
      if (target.zone !== this.zone || target.kind !== 'engine') continue;
      const {memory: memoryBytes, slots} = target;
      facts.push({name, memoryBytes, slots});
    }
    return facts;
  }

  /** @returns how many zones have an engine. */
  zonesWithEngines(): number {
    const zones = new Set<string>();
    for (const target of this.current().all('target').values()) {
      if (target.kind === 'engine') zones.add(target.zone);
    }
    return zones.size;
  }

  private lookUp(
    declared: Declarations,
    model: string,
  ): ReplicaNeed | undefined {
    const version = declared.get('model', model)?.version;
    if (version === undefined) return undefined;
    const weightBytes = declared.get('version', version)?.weights;
    if (weightBytes === undefined) return undefined;
    const bytes = weightBytes + this.kvBytes({model, version});
    const part = replicaParts(declared, model).get(this.zone) ?? 0;
    return {model, version, weightBytes, bytes, part};
  }

  private current(): Declarations {
    const declared = this.declared();
    if (declared !== this.cachedFor) {
      this.cachedFor = declared;
      this.needs.clear();
    }
    return declared;
  }
}
