/** Memory, replicas and pending orders of one target. @packageDocumentation */

import {Inventory} from '../targets/engine_client.js';

/** State of a replica on a target. */
export type ReplicaState = 'loading' | 'ready' | 'draining';

/** A version of a model. */
export interface ModelVersion {
  model: string;
  version: string;
}

/** A replica in the ledger. Sizes are in bytes. */
export interface Replica extends ModelVersion {
  /** Size of the weights plus the KV memory reserved for its requests. */
  bytes: number;
  state: ReplicaState;
  /** Number of requests that run on it, as the target last reported. */
  running: number;
  adapters: Map<string, number>;
}

/** A replica, or an adapter on it. */
export interface HeldItem extends ModelVersion {
  adapter?: string;
}

/** Memory reserved for an order until its outcome is known. */
export interface Reservation extends ModelVersion {
  /** Id of the order. */
  id: string;
  /** Set if the order loads an adapter. */
  adapter?: string;
  bytes: number;
  /**
   * Items that are evicted first. While they are held, their memory counts
   * towards this reservation, so that no other load can take it once it is
   * freed.
   */
  evict: HeldItem[];
  sentMs: number;
  /** Clock time at which the load is expected to end, in milliseconds. */
  expectedMs: number;
  /** Whether the answer was lost, so that the order may take effect later. */
  unknown: boolean;
}

/** Declared name and capacity of a target. */
export interface TargetSpec {
  name: string;
  memoryBytes: number;
  slots: number;
}

/**
 * Accounts for the memory of one target.
 *
 * An order of unknown outcome keeps its reservation until an inventory shows
 * that it was carried out, or until an inventory is requested so late that the
 * order can no longer arrive.
 */
export class TargetAccount {
  readonly replicas = new Map<string, Replica>();
  readonly reservations = new Map<string, Reservation>();
  /** Versions whose checkpoint is on the target's disk. */
  onDisk = new Set<string>();
  /** Versions whose checkpoint is in the main memory of the target's machine. */
  inMemory = new Set<string>();
  /** Whether the target is shutting down and gets no new work. */
  leaving = false;
  /** Whether orders of earlier controllers can no longer arrive. */
  canReceiveOrders = false;
  /** Whether the target answered the last inventory request. */
  reachable = true;
  private readonly evicting = new Set<string>();
  private reportedBytes = 0;
  private lastChangeMs = -Infinity;

  constructor(
    readonly spec: TargetSpec,
    private readonly maxOrderDelayMs: number,
    private readonly kvBytesOf: (replica: ModelVersion) => number,
  ) {}

  /** Memory in use or reserved, in bytes. */
  get usedBytes(): number {
    let held = 0;
    for (const replica of this.replicas.values()) held += replicaBytes(replica);
    return Math.max(held, this.reportedBytes) + this.reservedBytes();
  }

  /** Memory available for new loads, in bytes. */
  get freeBytes(): number {
    return this.spec.memoryBytes - this.usedBytes;
  }

  /** Returns the replica of a version, or undefined if it is not held. */
  replica({model, version}: ModelVersion): Replica | undefined {
    return this.replicas.get(replicaKey(model, version));
  }

  /** Returns whether a version is held or a pending order may load it. */
  isHeldOrOrdered({model, version}: ModelVersion): boolean {
    if (this.replica({model, version}) !== undefined) return true;
    return this.isOrdered({model, version});
  }

  /** Returns whether a pending order of this controller loads the version. */
  isOrdered({model, version}: ModelVersion): boolean {
    return [...this.reservations.values()].some(
      order => order.model === model && order.version === version,
    );
  }

  /** Returns whether an eviction of the version is in progress. */
  isEvicting({model, version}: ModelVersion): boolean {
    return this.evicting.has(replicaKey(model, version));
  }

  /** Starts draining a replica for an eviction, until {@link endEviction}. */
  startEviction({model, version}: ModelVersion): void {
    this.evicting.add(replicaKey(model, version));
    const held = this.replica({model, version});
    if (held?.state === 'ready') held.state = 'draining';
  }

  /** Ends an eviction; if the replica is still held, it becomes ready again. */
  endEviction({model, version}: ModelVersion): void {
    this.evicting.delete(replicaKey(model, version));
    const held = this.replica({model, version});
    if (held?.state === 'draining') held.state = 'ready';
  }

  /** Returns whether a pending load already evicts the item to free memory. */
  isVictimOfLoad({model, version, adapter}: HeldItem): boolean {
    for (const {evict} of this.reservations.values()) {
      for (const item of evict) {
        if (item.model !== model || item.version !== version) continue;
        const isWhole = item.adapter === undefined || adapter === undefined;
        if (isWhole || item.adapter === adapter) return true;
      }
    }
    return false;
  }

  /** Adds the reservation of an order that is about to be sent. */
  reserve(reservation: Reservation): void {
    this.reservations.set(reservation.id, reservation);
  }

  /**
   * Settles the reservation of an order. One of unknown outcome is kept.
   *
   * @param id - id of the order.
   * @param outcome - outcome of the order.
   * @param nowMs - clock time, in milliseconds.
   */
  settle(
    id: string,
    outcome: 'done' | 'refused' | 'unknown',
    nowMs: number,
  ): void {
    const reservation = this.reservations.get(id);
    if (reservation === undefined) return;
    this.lastChangeMs = nowMs;
    if (outcome === 'unknown') {
      reservation.unknown = true;
      return;
    }
    this.reservations.delete(id);
    if (outcome === 'done') this.addLoaded(reservation);
  }

  /** Removes a replica after the target has confirmed its eviction. */
  removeReplica({model, version}: ModelVersion, nowMs: number): void {
    const key = replicaKey(model, version);
    const replica = this.replicas.get(key);
    if (replica === undefined) return;
    this.lastChangeMs = nowMs;
    this.replicas.delete(key);
    this.evicting.delete(key);
    const freed = replicaBytes(replica);
    this.reportedBytes = Math.max(0, this.reportedBytes - freed);
    this.dropEvictedVictims();
  }

  /**
   * Removes items that are no longer held from the reservations' evictions. An
   * item that is loaded again later must not count towards them.
   */
  private dropEvictedVictims(): void {
    for (const reservation of this.reservations.values()) {
      reservation.evict = reservation.evict.filter(
        item => this.heldBytes(item) > 0,
      );
    }
  }

  /** Removes an adapter after the target has confirmed its eviction. */
  removeAdapter(replica: ModelVersion, adapter: string, nowMs: number): void {
    const adapters = this.replica(replica)?.adapters;
    this.lastChangeMs = nowMs;
    const bytes = adapters?.get(adapter) ?? 0;
    adapters?.delete(adapter);
    this.reportedBytes = Math.max(0, this.reportedBytes - bytes);
    this.dropEvictedVictims();
  }

  /**
   * Applies the target's inventory. Apart from reachability and whether the
   * target is leaving, an inventory that may be older than a known change is
   * ignored.
   *
   * @param inventory - the inventory.
   * @param askedMs - clock time just before the inventory was requested, in
   *     milliseconds.
   * @returns whether the inventory was applied.
   */
  applyInventory(inventory: Inventory, askedMs: number): boolean {
    this.reachable = true;
    this.leaving = inventory.leaving;
    if (askedMs <= this.lastChangeMs) return false;
    this.reportedBytes = inventory.usedBytes;
    this.onDisk = new Set(inventory.onDisk);
    this.inMemory = new Set(inventory.inMemory);
    this.replaceReplicas(inventory);
    this.dropResolvedReservations(askedMs);
    this.dropEvictedVictims();
    return true;
  }

  /** Removes all replicas and reservations of a target that has been lost. */
  clear(nowMs: number): void {
    this.replicas.clear();
    this.reservations.clear();
    this.evicting.clear();
    this.inMemory.clear();
    this.reportedBytes = 0;
    this.reachable = false;
    this.lastChangeMs = nowMs;
  }

  private replaceReplicas(inventory: Inventory): void {
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

  /** Removes reservations of unknown outcome that an inventory resolves. */
  private dropResolvedReservations(askedMs: number): void {
    for (const [id, reservation] of this.reservations) {
      if (!reservation.unknown) continue;
      const hasArrived = askedMs > reservation.sentMs + this.maxOrderDelayMs;
      if (hasArrived || this.holds(reservation)) this.reservations.delete(id);
    }
  }

  private holds({model, version, adapter}: Reservation): boolean {
    const replica = this.replica({model, version});
    if (replica === undefined) return false;
    return adapter === undefined || replica.adapters.has(adapter);
  }

  private addLoaded(reservation: Reservation): void {
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
      if (!this.holds(reservation)) reserved += this.netBytes(reservation);
    }
    return reserved;
  }

  /**
   * Returns the bytes that a load needs beyond those that its evictions free.
   */
  netBytes({bytes, evict}: Pick<Reservation, 'bytes' | 'evict'>): number {
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

/** Returns the key of a replica, unique on its target. */
export function replicaKey(model: string, version: string): string {
  return `${model}\n${version}`;
}

/** Returns the memory of a replica with its adapters, in bytes. */
export function replicaBytes({bytes, adapters}: Replica): number {
  let held = bytes;
  for (const adapterBytes of adapters.values()) held += adapterBytes;
  return held;
}
