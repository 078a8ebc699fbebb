/** Selection of a service and a target for a request. @packageDocumentation */

import {ServiceShare} from './deployment.js';
import {RequestWork} from '../work/work_model.js';
import {KnownTarget} from './target_table.js';
import {chooseWeighted} from './weighted_choice.js';

/**
 * Penalty of a target in another zone, as a fraction of its slots: the load
 * must be lower by at least this much.
 */
const OTHER_ZONE_PENALTY = 0.03;

/** Penalty per unit of a target's recent failure rate, as load. */
const FAILURE_PENALTY = 2;

/** Penalty of an avoided target, as load. */
const AVOIDED_PENALTY = 1_000;

/** Penalty of a target whose free slots this host has used its part of, as load. */
const PART_USED_PENALTY = 100;

/**
 * Number of targets up to which a host may exceed its part of their free slots.
 * Among more targets it finds one whose part is unused.
 */
const MAX_FEW_TARGETS = 4;

/** Penalty of a target whose limit is used up for now, as load. */
const THROTTLED_PENALTY = 500;

/** Options of {@link chooseTarget}. */
export interface ChoiceOptions {
  /** Availability zone of this host. */
  zone: string;
  /** Ids of the targets that were tried for the request. */
  tried: ReadonlySet<string>;
  /** Random number in [0, 1) that breaks ties. */
  draw: number;
  /** Work of the request, if its service has a model of work. */
  work?: RequestWork;
}

/**
 * Chooses the target with the lowest load, including penalties for distance and
 * failures.
 *
 * @param targets - the candidates.
 * @param options - see {@link ChoiceOptions}.
 * @returns the target; undefined if no untried target accepts requests.
 */
export function chooseTarget(
  targets: readonly KnownTarget[],
  options: ChoiceOptions,
): KnownTarget | undefined {
  const {work} = options;
  if (work !== undefined) {
    const canExceed = targets.length <= MAX_FEW_TARGETS;
    const cost = (target: KnownTarget) =>
      workCost(target, work, options, canExceed);
    const weight = (target: KnownTarget) => work.service.freeSlots(target);
    return chooseWeighted(targets, cost, weight, options.draw);
  }
  let best: KnownTarget | undefined;
  let bestCost = Infinity;
  const first = Math.floor(options.draw * targets.length);
  for (let i = 0; i < targets.length; i++) {
    const target = targets[(first + i) % targets.length];
    if (!isCandidate(target, options)) continue;
    const cost = costOf(target, options);
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}

/**
 * Returns whether any candidate takes requests, whether it has room or not.
 *
 * @param targets - the candidates.
 * @param options - see {@link ChoiceOptions}.
 */
export function hasCandidate(
  targets: readonly KnownTarget[],
  options: ChoiceOptions,
): boolean {
  return targets.some(
    target => isCandidate(target, options) && !target.health.isAvoided,
  );
}

/**
 * Returns the time until a target accepts requests again.
 *
 * @param targets - the candidates.
 * @returns the shortest remaining back-off time if all open targets are backing
 *     off; undefined if one of them accepts requests, or none is open.
 */
export function minBackOffMs(
  targets: readonly KnownTarget[],
): number | undefined {
  let nearestMs = Infinity;
  for (const target of targets) {
    if (!target.isOpen) continue;
    if (target.backOffLeftMs <= 0) return undefined;
    nearestMs = Math.min(nearestMs, target.backOffLeftMs);
  }
  return nearestMs === Infinity ? undefined : nearestMs;
}

/**
 * Returns whether targets can take nothing because the operator has evacuated
 * their zones: some are in an evacuated zone, and no other one is open.
 *
 * @param targets - the targets of a service.
 */
export function isAllEvacuated(targets: readonly KnownTarget[]): boolean {
  let hasEvacuated = false;
  for (const target of targets) {
    if (target.isOpen) return false;
    if (target.isEvacuated) hasEvacuated = true;
  }
  return hasEvacuated;
}

/**
 * Chooses a service at random, by weight.
 *
 * @param shares - services of a route with their weights.
 * @param draw - random number in [0, 1).
 * @returns name of the service; undefined if there are no shares.
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

function isCandidate(target: KnownTarget, {tried}: ChoiceOptions): boolean {
  return target.takesRequests && !tried.has(target.registration.id);
}

/**
 * Returns the cost of a target by the model of work; Infinity if unusable.
 *
 * @param canExceed - whether this host may exceed its part of the free slots.
 */
function workCost(
  target: KnownTarget,
  {service, size, objectiveMs}: RequestWork,
  options: ChoiceOptions,
  canExceed: boolean,
): number {
  if (!isCandidate(target, options)) return Infinity;
  if (!service.fitsMemory(target, size)) return Infinity;
  const hasRoom = service.hasRoom(target);
  if (!hasRoom && !(canExceed && service.hasSpareRoom(target))) return Infinity;
  const cost = service.cost(target, size, objectiveMs);
  const partPenalty = hasRoom ? 0 : PART_USED_PENALTY;
  return cost + partPenalty + penaltyOf(target, options);
}

function costOf(target: KnownTarget, options: ChoiceOptions): number {
  return target.load + penaltyOf(target, options);
}

function penaltyOf(target: KnownTarget, {zone}: ChoiceOptions): number {
  const distancePenalty =
    target.registration.zone === zone ? 0 : OTHER_ZONE_PENALTY;
  const failurePenalty = target.health.recentFailures * FAILURE_PENALTY;
  const avoidedPenalty = target.health.isAvoided ? AVOIDED_PENALTY : 0;
  const limitPenalty = target.throttledLeftMs > 0 ? THROTTLED_PENALTY : 0;
  return distancePenalty + failurePenalty + avoidedPenalty + limitPenalty;
}
