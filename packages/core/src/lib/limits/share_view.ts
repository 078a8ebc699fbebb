/** Who shares the pools. @packageDocumentation */

import {createHash} from 'node:crypto';

/** A host that holds a part of the pools. */
export interface ShareHost {
  host: string;
  zone: string;
  /** Differs for every start of the host. */
  incarnation: string;
}

/** What the hosts share: a rate of tokens, or permits that come back. */
export interface PoolSpec {
  /** Unique over all pools. */
  name: string;
  /** Tokens per second; Infinity for permits that are given back. */
  rate: number;
  /** Most tokens at once, or the number of permits. */
  burst: number;
  /** Part of the pool that is split over the zones, 0 to 1. */
  floor: number;
  /** Restricts the pool to one zone. */
  zone?: string;
}

/** What a host knows of those with whom it shares the pools. */
export abstract class ShareView {
  /** This host. */
  abstract readonly self: ShareHost;

  /** Counts up with each change of the declared zones. */
  abstract readonly version: number;

  /**
   * Whether every earlier member of the zone knows of this host. Once true it
   * stays true, unless this host is removed from the zone.
   */
  abstract get established(): boolean;

  /** Whether all hosts are known that were there before this one. */
  abstract get isComplete(): boolean;

  /** @returns all other hosts of all zones. */
  abstract peers(): readonly ShareHost[];

  /** @returns the weight of each declared zone. */
  abstract zones(): ReadonlyMap<string, number>;
}

/**
 * @param spec - the pool.
 * @param zones - weight of each declared zone.
 * @param zone - the zone in question.
 * @returns the fraction of the pool that refills in the zone.
 */
export function zoneFraction(
  {name, floor, zone: only}: PoolSpec,
  zones: ReadonlyMap<string, number>,
  zone: string,
): number {
  if (only !== undefined) return only === zone ? 1 : 0;
  const weight = zones.get(zone);
  if (weight === undefined) return 0;
  let total = 0;
  for (const other of zones.values()) total += other;
  const float = homeZone(name, zones.keys()) === zone ? 1 - floor : 0;
  return (floor * weight) / total + float;
}

/**
 * @param pool - name of the pool.
 * @param zones - names of the declared zones.
 * @returns the zone in which the float refills, by rendezvous hashing.
 */
export function homeZone(
  pool: string,
  zones: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestHash = '';
  for (const zone of zones) {
    const hash = createHash('sha256').update(`${pool}\n${zone}`).digest('hex');
    if (hash <= bestHash) continue;
    best = zone;
    bestHash = hash;
  }
  return best;
}
