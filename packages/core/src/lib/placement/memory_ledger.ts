/** Memory accounting of a zone controller for its targets. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  ModelVersion,
  Replica,
  Reservation,
  TargetAccount,
  TargetSpec,
} from './target_account.js';

/**
 * Longest time from the lease check until an order arrives at its target, in
 * milliseconds.
 */
export const MAX_ORDER_DELAY_MS = 5_000;

/** A replica with the account of the target that holds it. */
export interface PlacedReplica {
  account: TargetAccount;
  replica: Replica;
}

/** The target has too little free memory for a reservation. */
export interface NoRoom {
  type: 'no-room';
  message: string;
}

/**
 * Accounts for the memory of all targets of a zone: weights, adapters, KV
 * headroom and pending orders.
 */
export class MemoryLedger {
  private readonly accounts = new Map<string, TargetAccount>();

  /**
   * Creates an empty ledger.
   *
   * @param kvBytesOf - returns the KV memory to reserve for a replica, in
   *     bytes.
   */
  constructor(private readonly kvBytesOf: (r: ModelVersion) => number) {}

  /**
   * Updates the accounts to the declared targets. Accounts of targets that are
   * still declared are kept.
   *
   * @param targets - every target of the zone.
   * @returns whether a target was added or removed.
   */
  setTargets(targets: readonly TargetSpec[]): boolean {
    const names = new Set(targets.map(({name}) => name));
    let changed = false;
    for (const name of this.accounts.keys()) {
      if (!names.has(name)) changed = this.accounts.delete(name);
    }
    for (const facts of targets) {
      const known = this.accounts.get(facts.name);
      if (known !== undefined) {
        Object.assign(known.spec, facts);
        continue;
      }
      this.accounts.set(facts.name, this.createAccount(facts));
      changed = true;
    }
    return changed;
  }

  /** Returns the account of a target, or undefined if it is not declared. */
  account(target: string): TargetAccount | undefined {
    return this.accounts.get(target);
  }

  /** Returns the accounts of all targets. */
  all(): IterableIterator<TargetAccount> {
    return this.accounts.values();
  }

  /**
   * Reserves memory for an order before it is sent.
   *
   * @param target - name of the target that gets the order.
   * @param reservation - the memory to reserve.
   * @returns nothing, or an error if the target has too little free memory.
   */
  reserve(target: string, reservation: Reservation): Result<void, NoRoom> {
    const account = this.accounts.get(target);
    const bytes = account?.netBytes(reservation) ?? Infinity;
    if (account === undefined || account.freeBytes < bytes) {
      const message = `${target} has no room for ${reservation.model}`;
      return err({type: 'no-room', message});
    }
    account.reserve(reservation);
    return ok(undefined);
  }

  /** Returns the replicas of a model on all targets. */
  replicasOf(model: string): PlacedReplica[] {
    const placed: PlacedReplica[] = [];
    for (const account of this.accounts.values()) {
      for (const replica of account.replicas.values()) {
        if (replica.model === model) placed.push({account, replica});
      }
    }
    return placed;
  }

  /** Returns the orders for a model whose outcome is not known yet. */
  pendingOf(model: string): Reservation[] {
    const pending: Reservation[] = [];
    for (const account of this.accounts.values()) {
      for (const reservation of account.reservations.values()) {
        if (reservation.model === model) pending.push(reservation);
      }
    }
    return pending;
  }

  /**
   * Counts the replicas of a model that targets hold, load, or may load because
   * of a pending order.
   *
   * @param model - name of the model.
   * @param version - counts only this version, if given.
   */
  count(model: string, version?: string): number {
    const matches = (held: ModelVersion) =>
      held.model === model && (version ?? held.version) === held.version;
    let count = 0;
    for (const account of this.accounts.values()) {
      for (const replica of account.replicas.values()) {
        if (matches(replica)) count += 1;
      }
      for (const reservation of account.reservations.values()) {
        if (reservation.adapter !== undefined) continue;
        if (!matches(reservation)) continue;
        if (account.replica(reservation) === undefined) count += 1;
      }
    }
    return count;
  }

  private createAccount(facts: TargetSpec): TargetAccount {
    return new TargetAccount({...facts}, MAX_ORDER_DELAY_MS, this.kvBytesOf);
  }
}
