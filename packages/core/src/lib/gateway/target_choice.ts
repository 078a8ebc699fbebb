/** Chooses a target for a request. @packageDocumentation */

import {ServiceShare} from './deployment.js';
import {KnownTarget} from './target_table.js';

/** Load, as a share of the slots, that a target in another zone must save. */
const OTHER_ZONE_PENALTY = 0.03;

/** Load that a target's recent failures count as. */
const FAILURE_PENALTY = 2;

/** Load that an avoided target counts as. */
const AVOIDED_PENALTY = 1_000;

/** What a choice depends on besides the targets. */
export interface ChoiceOptions {
  /** Zone of this host. */
  zone: string;
  /** Targets that were tried for the request. */
  tried: ReadonlySet<string>;
  /** Random number in [0, 1) that decides between equals. */
  draw: number;
}

/**
 * @param targets - candidates.
 * @param options - see {@link ChoiceOptions}.
 * @returns the open target with the least load, nearby first; undefined if
 *     none is open and not tried yet.
 */
export function chooseTarget(
  targets: readonly KnownTarget[],
  options: ChoiceOptions,
): KnownTarget | undefined {
  let best: KnownTarget | undefined;
  let bestCost = Infinity;
  const first = Math.floor(options.draw * targets.length);
  for (let i = 0; i < targets.length; i++) {
    const target = targets[(first + i) % targets.length];
    if (!target.takesRequests || options.tried.has(target.notice.id)) continue;
    const cost = costOf(target, options);
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}

/**
 * @param targets - candidates.
 * @returns the time until the first of them wants requests again, if all that
 *     are open have named one; undefined if one takes requests, or none is open.
 */
export function quietTimeOf(
  targets: readonly KnownTarget[],
): number | undefined {
  let nearestMs = Infinity;
  for (const target of targets) {
    if (!target.isOpen) continue;
    if (target.quietLeftMs <= 0) return undefined;
    nearestMs = Math.min(nearestMs, target.quietLeftMs);
  }
  return nearestMs === Infinity ? undefined : nearestMs;
}

/**
 * @param shares - weights of a route's services.
 * @param draw - a random number in [0, 1).
 * @returns the service that the draw falls on.
 */
export function chooseService(
  shares: readonly ServiceShare[],
  draw: number,
): string | undefined {
  let total = 0;
  for (const {weight} of shares) total += weight;
  let left = draw * total;
  for (const {service, weight} of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service;
}

function costOf(target: KnownTarget, options: ChoiceOptions): number {
  const away = target.notice.zone === options.zone ? 0 : OTHER_ZONE_PENALTY;
  const failing = target.health.recentFailures * FAILURE_PENALTY;
  const avoided = target.health.isAvoided ? AVOIDED_PENALTY : 0;
  return target.load + away + failing + avoided;
}
