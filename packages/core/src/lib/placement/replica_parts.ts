/** How a model's replicas are split over the zones. @packageDocumentation */

import {createHash} from 'node:crypto';
import {Declarations} from '../config/declared.js';

/** A zone and its weight in the split. */
export interface WeightedZone {
  zone: string;
  weight: number;
}

/**
 * Splits a count over zones by largest remainder. The parts add up to exactly
 * the count, whatever the weights, so zones that are cut off from each other
 * never hold more than the count together. Ties are broken by a hash of the
 * key, which spreads the single replicas of many models over all zones.
 *
 * @param count - what is split.
 * @param zones - zones with their weights; must not be empty.
 * @param key - differs per model.
 * @returns the part of each zone.
 */
export function splitByWeight(
  count: number,
  zones: readonly WeightedZone[],
  key: string,
): Map<string, number> {
  const total = zones.reduce((sum, {weight}) => sum + weight, 0);
  const shares = zones.map(({zone, weight}) => {
    const exact = (count * weight) / total;
    const whole = Math.floor(exact);
    // The remainder, weighed as in weighted rendezvous hashing: a zone gets
    // the odd replicas in proportion to what it lacks.
    const remainder = exact - whole;
    const rank = remainder > 0 ? -Math.log(hashFraction(key, zone)) : Infinity;
    return {zone, whole, rank: rank / remainder};
  });
  const parts = new Map(shares.map(({zone, whole}) => [zone, whole]));
  let left = count - shares.reduce((sum, {whole}) => sum + whole, 0);
  for (const {zone} of [...shares].sort((a, b) => a.rank - b.rank)) {
    if (left-- <= 0) break;
    parts.set(zone, parts.get(zone)! + 1);
  }
  return parts;
}

/**
 * @param declared - the configuration.
 * @param model - name of a model.
 * @returns how many replicas each zone with an engine may hold.
 */
export function replicaParts(
  declared: Declarations,
  model: string,
): Map<string, number> {
  const zones = zonesWithEngines(declared);
  const fields = declared.get('model', model);
  if (fields === undefined || zones.length === 0) return new Map();
  return splitByWeight(fields.max_replicas, zones, model);
}

function zonesWithEngines(declared: Declarations): WeightedZone[] {
  const names = new Set<string>();
  for (const target of declared.all('target').values()) {
    if (target.kind === 'engine') names.add(target.zone);
  }
  return [...names].sort().map(zone => {
    return {zone, weight: declared.get('zone', zone)?.weight ?? 1};
  });
}

function hashFraction(key: string, zone: string): number {
  const digest = createHash('sha256').update(`${key}\n${zone}`).digest();
  return (digest.readUInt32BE(0) + 1) / 2 ** 32;
}
