/** What hosts are told of a target. @packageDocumentation */

import {TargetView} from './replica_directory.js';
import {Reservation, TargetAccount, replicaKey} from './target_account.js';

type ResidentView = TargetView['residents'][number];

/**
 * @param account - the account of a target.
 * @param nowMs - clock time.
 * @returns what hosts need to know of it; loads that are decided but do not
 *     show up at the target yet are listed as well.
 */
export function viewTarget(account: TargetAccount, nowMs: number): TargetView {
  const {facts, leaving, replicas, reservations} = account;
  const residents = new Map<string, ResidentView>();
  let running = 0;
  for (const [key, replica] of replicas) {
    const {model, version, state, adapters} = replica;
    running += replica.running;
    residents.set(key, {model, version, state, adapters: [...adapters.keys()]});
  }
  for (const reservation of reservations.values()) {
    if (reservation.adapter !== undefined) continue;
    const {model, version} = reservation;
    const key = replicaKey(model, version);
    const readyInMs = remainingMs(reservation, nowMs);
    const state = residents.get(key)?.state ?? 'loading';
    residents.set(key, {model, version, state, readyInMs, adapters: []});
  }
  const {name: target, slots} = facts;
  return {target, slots, running, leaving, residents: [...residents.values()]};
}

function remainingMs({expectedMs}: Reservation, nowMs: number): number {
  return Math.max(0, Math.round(expectedMs - nowMs));
}
