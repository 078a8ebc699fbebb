/** Splits the replicas of a model over the zones. @packageDocumentation */

import {createHash} from 'node:crypto';
import {DeclarationSet} from '../config/declaration_set.js';

/** A zone and its weight in the split. */
export interface WeightedZone {
  zone: string;
  weight: number;
}

/**
 * Splits a count over zones in proportion to their weights.
 *
 * Each zone gets the integer part of its quota; weighted rendezvous hashing of
 * the key and the zone distributes the rest. The results add up to exactly the
 * count for any weights, so zones that cannot reach each other never hold more
 * than the count in total. The hash spreads the single replicas of many models
 * over all zones.
 *
 * @param count - the count to split.
 * @param zones - zones with their weights; must not be empty.
 * @param key - hash key, such as the name of the model.
 * @returns the count of each zone.
 */
export function splitByWeight(
  count: number,
  zones: readonly WeightedZone[],
  key: string,
): Map<string, number> {
  const total = zones.reduce((sum, {weight}) => sum + weight, 0);
  const quotas = zones.map(({zone, weight}) => {
    const exact = (count * weight) / total;
    const whole = Math.floor(exact);
    // Weighted rendezvous hashing by remainder: zones get the leftover replicas
    // in proportion to the fraction that each one lacks.
    const remainder = exact - whole;
    const rank = remainder > 0 ? -Math.log(hashFraction(key, zone)) : Infinity;
    return {zone, whole, rank: rank / remainder};
  });
  const counts = new Map(quotas.map(({zone, whole}) => [zone, whole]));
  let remaining = count - quotas.reduce((sum, {whole}) => sum + whole, 0);
  for (const {zone} of [...quotas].sort((a, b) => a.rank - b.rank)) {
    if (remaining-- <= 0) break;
    counts.set(zone, counts.get(zone)! + 1);
  }
  return counts;
}

/**
 * Returns the number of replicas of a model that each zone with an engine may
 * hold.
 *
 * @param declared - the configuration.
 * @param model - name of the model.
 */
export function splitReplicas(
  declared: DeclarationSet,
  model: string,
): Map<string, number> {
  const zones = zonesWithEngines(declared);
  const fields = declared.get('model', model);
  if (fields === undefined || zones.length === 0) return new Map();
  return splitByWeight(fields.max_replicas, zones, model);
}

function zonesWithEngines(declared: DeclarationSet): WeightedZone[] {
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
