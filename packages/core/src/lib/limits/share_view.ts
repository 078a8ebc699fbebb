/** Shared pools and the hosts that share them. @packageDocumentation */

import {createHash} from 'node:crypto';

/** A host that owns a share of the pools. */
export interface ShareHost {
  host: string;
  zone: string;
  /** Unique for each start of the host. */
  incarnation: string;
}

/** A pool that hosts share: a token rate, or a number of reusable permits. */
export interface PoolSpec {
  /** Name, unique among all pools. */
  name: string;
  /** Tokens per second; Infinity for permits, which are reused. */
  rate: number;
  /** Maximum number of tokens at once, or the number of permits. */
  burst: number;
  /**
   * Fraction of the pool that is split over the zones by weight, 0 to 1. The
   * rest refills in the home zone of the pool.
   */
  floor: number;
  /** The only zone of the pool; all zones share it if undefined. */
  zone?: string;
}

/** A host's view of the hosts and zones that share the pools. */
export abstract class ShareView {
  /** This host. */
  abstract readonly self: ShareHost;

  /** Version of the declared zones; increases with each change. */
  abstract readonly version: number;

  /**
   * Whether every earlier member of the zone knows this host. Once true it
   * stays true, unless this host is removed from the zone.
   */
  abstract get isEstablished(): boolean;

  /** Whether the view includes every host that joined before this one. */
  abstract get isComplete(): boolean;

  /** Returns all other hosts of all zones. */
  abstract peers(): readonly ShareHost[];

  /** Returns the weight of each declared zone. */
  abstract zoneWeights(): ReadonlyMap<string, number>;
}

/**
 * Computes the fraction of a pool that refills in a zone.
 *
 * @param spec - the pool.
 * @param zones - weight of each declared zone.
 * @param zone - name of the zone.
 * @returns the fraction, 0 to 1.
 */
export function zoneFraction(
  {name, floor, zone: onlyZone}: PoolSpec,
  zones: ReadonlyMap<string, number>,
  zone: string,
): number {
  if (onlyZone !== undefined) return onlyZone === zone ? 1 : 0;
  const weight = zones.get(zone);
  if (weight === undefined) return 0;
  let total = 0;
  for (const other of zones.values()) total += other;
  const floatFraction = homeZone(name, zones.keys()) === zone ? 1 - floor : 0;
  return (floor * weight) / total + floatFraction;
}

/**
 * Chooses the home zone of a pool by rendezvous hashing. The float, which is
 * the fraction of the pool beyond its floor, refills there.
 *
 * @param pool - name of the pool.
 * @param zones - names of the declared zones.
 * @returns the home zone, or undefined if there are no zones.
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
