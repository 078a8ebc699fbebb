/** Replica sizes and limits from the configuration of a zone. @packageDocumentation */

import {DeclarationSet} from '../config/declaration_set.js';
import {splitReplicas} from './replica_split.js';
import {ModelVersion, TargetSpec} from './target_account.js';

/** Size of a model's replicas and how many the zone may hold. */
export interface ReplicaSpec extends ModelVersion {
  /** Size of the weights plus the reserved KV memory, in bytes. */
  bytes: number;
  weightBytes: number;
  /** Number of replicas that this zone may hold. */
  maxReplicas: number;
}

/** Reads the current configuration for one zone. */
export class ReplicaCatalog {
  private cachedFor: DeclarationSet | undefined;
  private readonly specs = new Map<string, ReplicaSpec | undefined>();

  /**
   * Creates the catalog of a zone.
   *
   * @param zone - name of the zone.
   * @param declared - returns the current configuration.
   */
  constructor(
    private readonly zone: string,
    private readonly declared: () => DeclarationSet,
  ) {}

  /**
   * Returns the replica spec of a model, or undefined if it is not declared.
   */
  spec(model: string): ReplicaSpec | undefined {
    const declared = this.current();
    if (!this.specs.has(model)) {
      this.specs.set(model, this.buildSpec(declared, model));
    }
    return this.specs.get(model);
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
  targets(): TargetSpec[] {
    const specs: TargetSpec[] = [];
    for (const [name, target] of this.current().all('target')) {
      if (target.zone !== this.zone || target.kind !== 'engine') continue;
      const {memory: memoryBytes, slots} = target;
      specs.push({name, memoryBytes, slots});
    }
    return specs;
  }

  /** Returns the number of zones that have an engine. */
  zonesWithEngines(): number {
    const zones = new Set<string>();
    for (const target of this.current().all('target').values()) {
      if (target.kind === 'engine') zones.add(target.zone);
    }
    return zones.size;
  }

  private buildSpec(
    declared: DeclarationSet,
    model: string,
  ): ReplicaSpec | undefined {
    const version = declared.get('model', model)?.version;
    if (version === undefined) return undefined;
    const weightBytes = declared.get('version', version)?.weights;
    if (weightBytes === undefined) return undefined;
    const bytes = weightBytes + this.kvBytes({model, version});
    const limit = splitReplicas(declared, model).get(this.zone) ?? 0;
    return {model, version, weightBytes, bytes, maxReplicas: limit};
  }

  private current(): DeclarationSet {
    const declared = this.declared();
    if (declared !== this.cachedFor) {
      this.cachedFor = declared;
      this.specs.clear();
    }
    return declared;
  }
}
