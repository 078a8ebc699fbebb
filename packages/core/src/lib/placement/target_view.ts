/** Builds the view of a target that is published to hosts. @packageDocumentation */

import {TargetView} from './replica_directory.js';
import {Reservation, TargetAccount, replicaKey} from './target_account.js';

type ResidentView = TargetView['residents'][number];

/**
 * Builds the view of a target. It includes loads that have been decided but
 * that the target does not report yet.
 *
 * @param account - the account of the target.
 * @param nowMs - clock time, in milliseconds.
 */
export function buildTargetView(
  account: TargetAccount,
  nowMs: number,
): TargetView {
  const {spec: targetSpec, leaving, replicas, reservations} = account;
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
  const {name: target, slots} = targetSpec;
  return {target, slots, running, leaving, residents: [...residents.values()]};
}

function remainingMs({expectedMs}: Reservation, nowMs: number): number {
  return Math.max(0, Math.round(expectedMs - nowMs));
}
