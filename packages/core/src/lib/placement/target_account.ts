/** What one target holds and has been ordered to hold. @packageDocumentation */

import {Inventory} from '../targets/engine_client.js';

/** State of a replica on a target. */
export type ReplicaState = 'loading' | 'ready' | 'draining';

/** A version of a model. */
export interface ModelVersion {
  model: string;
  version: string;
}

/** A replica as the ledger knows it. Sizes are in bytes. */
export interface Replica extends ModelVersion {
  /** Weights and the KV memory that is kept for its requests. */
  bytes: number;
  state: ReplicaState;
  /** Requests that run on it, as the target last reported. */
  running: number;
  adapters: Map<string, number>;
}

/** A replica, or an adapter on it. */
export interface HeldItem extends ModelVersion {
  adapter?: string;
}

/** Memory that an order takes until its outcome is known. */
export interface Reservation extends ModelVersion {
  /** Id of the order. */
  id: string;
  /** Set if the order loads an adapter. */
  adapter?: string;
  bytes: number;
  /**
   * What is evicted first. While it is held, its memory stands for that of the
   * load, so that nothing else can take it the moment it is free.
   */
  evict: HeldItem[];
  sentMs: number;
  /** When the load is expected to end, in clock time. */
  expectedMs: number;
  /** Whether the answer was lost, so that the order may take effect later. */
  unknown: boolean;
}

/** What a target is declared to be. */
export interface TargetFacts {
  name: string;
  memoryBytes: number;
  slots: number;
}

/**
 * The memory of one target. Orders of unknown outcome count as taking memory
 * until a report that the target made after they must have arrived says
 * otherwise.
 */
export class TargetAccount {
  readonly replicas = new Map<string, Replica>();
  readonly reservations = new Map<string, Reservation>();
  /** Versions whose checkpoint is on the target's disk. */
  onDisk = new Set<string>();
  /** Versions whose checkpoint is in the memory of the target's host. */
  inMemory = new Set<string>();
  /** Whether the target gets no new work. */
  leaving = false;
  /** Whether no earlier controller's order can arrive any more. */
  mayOrder = false;
  /** Whether the target answered when it was last asked. */
  reachable = true;
  private readonly evicting = new Set<string>();
  private reportedBytes = 0;
  private changedMs = -Infinity;

  constructor(
    readonly facts: TargetFacts,
    private readonly orderArrivalMs: number,
    private readonly kvBytesOf: (replica: ModelVersion) => number,
  ) {}

  /** Bytes in use or spoken for. */
  get usedBytes(): number {
    let held = 0;
    for (const replica of this.replicas.values()) held += replicaBytes(replica);
    return Math.max(held, this.reportedBytes) + this.reservedBytes();
  }

  /** Bytes that a new load may take. */
  get freeBytes(): number {
    return this.facts.memoryBytes - this.usedBytes;
  }

  /** @returns the replica of a version. */
  replica({model, version}: ModelVersion): Replica | undefined {
    return this.replicas.get(replicaKey(model, version));
  }

  /** @returns whether a version is held, or may be after a pending order. */
  mayHold({model, version}: ModelVersion): boolean {
    if (this.replica({model, version}) !== undefined) return true;
    return this.isOrdered({model, version});
  }

  /** @returns whether an order of this controller loads the version. */
  isOrdered({model, version}: ModelVersion): boolean {
    return [...this.reservations.values()].some(
      order => order.model === model && order.version === version,
    );
  }

  /** @returns whether an eviction of the version is under way. */
  isEvicting({model, version}: ModelVersion): boolean {
    return this.evicting.has(replicaKey(model, version));
  }

  /** Drains a replica for an eviction, until {@link evictionEnded}. */
  noteEvicting({model, version}: ModelVersion): void {
    this.evicting.add(replicaKey(model, version));
    const held = this.replica({model, version});
    if (held?.state === 'ready') held.state = 'draining';
  }

  /** Notes that an eviction has ended; what is still held is offered again. */
  evictionEnded({model, version}: ModelVersion): void {
    this.evicting.delete(replicaKey(model, version));
    const held = this.replica({model, version});
    if (held?.state === 'draining') held.state = 'ready';
  }

  /** @returns whether a load already counts on what an eviction frees. */
  isClaimed({model, version, adapter}: HeldItem): boolean {
    for (const {evict} of this.reservations.values()) {
      for (const item of evict) {
        if (item.model !== model || item.version !== version) continue;
        const isWhole = item.adapter === undefined || adapter === undefined;
        if (isWhole || item.adapter === adapter) return true;
      }
    }
    return false;
  }

  /** @param reservation - what an order takes, before it is sent. */
  reserve(reservation: Reservation): void {
    this.reservations.set(reservation.id, reservation);
  }

  /**
   * @param id - id of an order.
   * @param outcome - what became of it.
   * @param nowMs - clock time.
   */
  settle(
    id: string,
    outcome: 'done' | 'refused' | 'unknown',
    nowMs: number,
  ): void {
    const reservation = this.reservations.get(id);
    if (reservation === undefined) return;
    this.changedMs = nowMs;
    if (outcome === 'unknown') {
      reservation.unknown = true;
      return;
    }
    this.reservations.delete(id);
    if (outcome === 'done') this.materialise(reservation);
  }

  /** Takes a replica out once the target has confirmed its eviction. */
  evicted({model, version}: ModelVersion, nowMs: number): void {
    const key = replicaKey(model, version);
    const replica = this.replicas.get(key);
    if (replica === undefined) return;
    this.changedMs = nowMs;
    this.replicas.delete(key);
    this.evicting.delete(key);
    const freed = replicaBytes(replica);
    this.reportedBytes = Math.max(0, this.reportedBytes - freed);
    this.dropSpentClaims();
  }

  /** Forgets claims on what is gone; the same may be loaded again later. */
  private dropSpentClaims(): void {
    for (const reservation of this.reservations.values()) {
      reservation.evict = reservation.evict.filter(
        item => this.heldBytes(item) > 0,
      );
    }
  }

  /** Takes an adapter out once the target has confirmed its eviction. */
  evictedAdapter(replica: ModelVersion, adapter: string, nowMs: number): void {
    const adapters = this.replica(replica)?.adapters;
    this.changedMs = nowMs;
    const bytes = adapters?.get(adapter) ?? 0;
    adapters?.delete(adapter);
    this.reportedBytes = Math.max(0, this.reportedBytes - bytes);
    this.dropSpentClaims();
  }

  /**
   * Takes in the target's own report.
   *
   * @param inventory - the report.
   * @param askedMs - clock time before it was asked for; a report that may be
   *     older than a known change is ignored.
   * @returns whether it was taken in.
   */
  report(inventory: Inventory, askedMs: number): boolean {
    this.reachable = true;
    this.leaving = inventory.leaving;
    if (askedMs <= this.changedMs) return false;
    this.reportedBytes = inventory.usedBytes;
    this.onDisk = new Set(inventory.onDisk);
    this.inMemory = new Set(inventory.inMemory);
    this.takeReplicas(inventory);
    this.dropResolved(askedMs);
    this.dropSpentClaims();
    return true;
  }

  /** Forgets everything, as the target's process has ended. */
  ended(nowMs: number): void {
    this.replicas.clear();
    this.reservations.clear();
    this.evicting.clear();
    this.inMemory.clear();
    this.reportedBytes = 0;
    this.reachable = false;
    this.changedMs = nowMs;
  }

  private takeReplicas(inventory: Inventory): void {
    const draining = new Set<string>();
    for (const [key, {state}] of this.replicas) {
      if (state === 'draining') draining.add(key);
    }
    this.replicas.clear();
    for (const resident of inventory.residents) {
      const {model, version, running, adapters} = resident;
      const key = replicaKey(model, version);
      const isDraining = draining.has(key) && resident.state === 'ready';
      this.replicas.set(key, {
        model,
        version,
        running,
        bytes: resident.bytes + this.kvBytesOf(resident),
        state: isDraining ? 'draining' : resident.state,
        adapters: new Map(adapters.map(({adapter, bytes}) => [adapter, bytes])),
      });
    }
  }

  /** Drops orders of unknown outcome that this report settles. */
  private dropResolved(askedMs: number): void {
    for (const [id, reservation] of this.reservations) {
      if (!reservation.unknown) continue;
      const arrived = askedMs > reservation.sentMs + this.orderArrivalMs;
      if (arrived || this.holds(reservation)) this.reservations.delete(id);
    }
  }

  private holds({model, version, adapter}: Reservation): boolean {
    const replica = this.replica({model, version});
    if (replica === undefined) return false;
    return adapter === undefined || replica.adapters.has(adapter);
  }

  private materialise(reservation: Reservation): void {
    const {model, version, adapter, bytes} = reservation;
    const known = this.replica(reservation);
    if (adapter !== undefined) {
      known?.adapters.set(adapter, bytes);
      return;
    }
    this.onDisk.add(version);
    const adapters = known?.adapters ?? new Map<string, number>();
    this.replicas.set(replicaKey(model, version), {
      model,
      version,
      bytes,
      state: 'ready',
      running: known?.running ?? 0,
      adapters,
    });
  }

  private reservedBytes(): number {
    let reserved = 0;
    for (const reservation of this.reservations.values()) {
      if (!this.holds(reservation)) reserved += this.outstanding(reservation);
    }
    return reserved;
  }

  /** @returns what a load takes beyond what it evicts. */
  outstanding({bytes, evict}: Pick<Reservation, 'bytes' | 'evict'>): number {
    let missing = bytes;
    for (const item of evict) missing -= this.heldBytes(item);
    return Math.max(0, missing);
  }

  private heldBytes(item: HeldItem): number {
    const replica = this.replica(item);
    if (replica === undefined) return 0;
    if (item.adapter !== undefined) {
      return replica.adapters.get(item.adapter) ?? 0;
    }
    return replicaBytes(replica);
  }
}

/** @returns what identifies a replica on its target. */
export function replicaKey(model: string, version: string): string {
  return `${model}\n${version}`;
}

/** @returns what a replica takes with its adapters. */
export function replicaBytes({bytes, adapters}: Replica): number {
  let held = bytes;
  for (const adapterBytes of adapters.values()) held += adapterBytes;
  return held;
}
