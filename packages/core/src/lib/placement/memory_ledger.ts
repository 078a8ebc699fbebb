/** The memory of a zone's targets as its controller accounts for it. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  ModelVersion,
  Replica,
  Reservation,
  TargetAccount,
  TargetFacts,
} from './target_account.js';

/**
 * How long after the lease check an order may still arrive at its target, in
 * milliseconds.
 */
export const ORDER_ARRIVAL_MS = 5_000;

/** A replica with the target that holds it. */
export interface PlacedReplica {
  account: TargetAccount;
  replica: Replica;
}

/** Why memory was not reserved. */
export interface NoRoom {
  type: 'no-room';
  message: string;
}

/** Weights, adapters, KV headroom and orders of all targets of a zone. */
export class MemoryLedger {
  private readonly accounts = new Map<string, TargetAccount>();

  /** @param kvBytesOf - KV memory to keep for a replica, in bytes. */
  constructor(private readonly kvBytesOf: (r: ModelVersion) => number) {}

  /**
   * Follows the declared targets; an account whose facts stay is kept.
   *
   * @param targets - every target of the zone.
   * @returns whether a target came or went.
   */
  setTargets(targets: readonly TargetFacts[]): boolean {
    const names = new Set(targets.map(({name}) => name));
    let changed = false;
    for (const name of this.accounts.keys()) {
      if (!names.has(name)) changed = this.accounts.delete(name);
    }
    for (const facts of targets) {
      const known = this.accounts.get(facts.name);
      if (known !== undefined) {
        Object.assign(known.facts, facts);
        continue;
      }
      this.accounts.set(facts.name, this.open(facts));
      changed = true;
    }
    return changed;
  }

  /** @returns the account of a target. */
  account(target: string): TargetAccount | undefined {
    return this.accounts.get(target);
  }

  /** @returns every account. */
  all(): IterableIterator<TargetAccount> {
    return this.accounts.values();
  }

  /**
   * Reserves memory for an order before it is sent.
   *
   * @param target - where the order goes.
   * @param reservation - what it takes.
   * @returns nothing, or that the target has no room for it.
   */
  reserve(target: string, reservation: Reservation): Result<void, NoRoom> {
    const account = this.accounts.get(target);
    if (account === undefined || account.freeBytes < reservation.bytes) {
      const message = `${target} has no room for ${reservation.model}`;
      return err({type: 'no-room', message});
    }
    account.reserve(reservation);
    return ok(undefined);
  }

  /** @returns every replica of a model, on all targets. */
  replicasOf(model: string): PlacedReplica[] {
    const placed: PlacedReplica[] = [];
    for (const account of this.accounts.values()) {
      for (const replica of account.replicas.values()) {
        if (replica.model === model) placed.push({account, replica});
      }
    }
    return placed;
  }

  /** @returns orders for a model whose outcome is not known yet. */
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
   * @param model - name of the model.
   * @param version - counts only this version, if given.
   * @returns replicas that are held, loaded, or may be loaded.
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

  private open(facts: TargetFacts): TargetAccount {
    return new TargetAccount({...facts}, ORDER_ARRIVAL_MS, this.kvBytesOf);
  }
}
