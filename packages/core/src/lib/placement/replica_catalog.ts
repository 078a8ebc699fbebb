/** Replica sizes and limits from the configuration of a zone. @packageDocumentation */

import {Declarations} from '../config/declared.js';
import {replicaParts} from './replica_parts.js';
import {ModelVersion, TargetFacts} from './target_account.js';

/** Size of a model's replicas and how many the zone may hold. */
export interface ReplicaNeed extends ModelVersion {
  /** Size of the weights plus the reserved KV memory, in bytes. */
  bytes: number;
  weightBytes: number;
  /** Number of replicas that this zone may hold. */
  part: number;
}

/** Reads the current configuration for one zone. */
export class ReplicaCatalog {
  private cachedFor: Declarations | undefined;
  private readonly needs = new Map<string, ReplicaNeed | undefined>();

  /**
   * Creates the catalog of a zone.
   *
   * @param zone - name of the zone.
   * @param declared - returns the current configuration.
   */
  constructor(
    private readonly zone: string,
    private readonly declared: () => Declarations,
  ) {}

  /**
   * Returns the replica spec of a model, or undefined if it is not declared.
   */
  need(model: string): ReplicaNeed | undefined {
    const declared = this.current();
    if (!this.needs.has(model)) {
      this.needs.set(model, this.lookUp(declared, model));
    }
    return this.needs.get(model);
  }

  /**
   * Returns the size of a model's adapter, or undefined if it is not declared.
   */
  adapterBytes(model: string, adapter: string): number | undefined {
    const fields = this.current().get('adapter', adapter);
    return fields?.model === model ? fields.size : undefined;
  }

  /** Returns the KV memory to reserve for a replica: one full context. */
  kvBytes({version}: ModelVersion): number {
    const fields = this.current().get('version', version);
    return fields === undefined ? 0 : fields.kv_per_token * fields.context;
  }

  /** Returns the specs of this zone's engines. */
  targets(): TargetFacts[] {
    const facts: TargetFacts[] = [];
    for (const [name, target] of this.current().all('target')) {
      if (target.zone !== this.zone || target.kind !== 'engine') continue;
      const {memory: memoryBytes, slots} = target;
      facts.push({name, memoryBytes, slots});
    }
    return facts;
  }

  /** Returns the number of zones that have an engine. */
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
