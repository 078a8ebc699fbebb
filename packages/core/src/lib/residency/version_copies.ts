/** Chooses copies by which streams can go on at their software version. @packageDocumentation */

import {
  COPIES_PER_VERSION,
  MIN_EXPOSED_SHARE,
  PlanRound,
} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {canPlace} from './swap_choice.js';

/**
 * Fraction of the requests in flight at the targets of a version that a model
 * must have for a second copy there if another target has its weights.
 */
const MIN_COPIED_SHARE = 0.2;

/** Requests in flight for a model at a version from which it is copied. */
const MIN_COPIED_REQUESTS = 3;

/** A model that another target of a software version should load. */
export interface VersionCopy {
  model: string;
  softwareVersion: string;
  /** Requests in flight that one target alone could go on with. */
  requests: number;
  /** Whether no other target of the version can load it without the store. */
  fromStore: boolean;
  /** Retiring copies that could take requests again instead. */
  retiring: readonly ResidencyAccount[];
}

/** Requests in flight that one target alone could go on with. */
export interface LoneModels {
  softwareVersion: string;
  targetCount: number;
  /** Targets that no order for a model keeps busy. */
  idleCount: number;
  /** Requests in flight at the targets of the version. */
  requests: number;
  /** Models that one of them holds, with their requests; the busiest first. */
  models: ReadonlyArray<readonly [string, number]>;
}

/**
 * Chooses the models of each version whose streams one of its targets alone
 * could go on with.
 *
 * Streams of a model whose weights another target of the version has can wait
 * for its load. Others cannot wait for the weight store, so that fewer of them
 * call for a copy.
 *
 * @param round - state of targets and demand.
 * @returns the copies, those with most requests first; none while all targets
 *     run the same version.
 */
export function chooseVersionCopies(round: PlanRound): VersionCopy[] {
  const chosen: VersionCopy[] = [];
  for (const version of round.versions.values()) {
    if (version.targets.length < COPIES_PER_VERSION) continue;
    for (const [model, requests] of version.requestsByModel) {
      if (
        requests < MIN_COPIED_REQUESTS ||
        !round.isLone(version.softwareVersion, model)
      )
        continue;
      const fromStore = version.localCount(model) < COPIES_PER_VERSION;
      const minShare = fromStore ? MIN_EXPOSED_SHARE : MIN_COPIED_SHARE;
      if (requests < version.requestCount * minShare) continue;
      const {softwareVersion} = version;
      const retiring = round
        .retiring(model)
        .filter(account => version.targets.includes(account));
      chosen.push({model, softwareVersion, requests, fromStore, retiring});
    }
  }
  return chosen.sort((a, b) => b.requests - a.requests);
}

/**
 * Chooses the copies to load next: those whose weights a target has, and for
 * each version one from the weight store, while none of its targets loads from
 * there. Such a load keeps its target from all other orders for seconds, and a
 * version may have few targets.
 *
 * @param copies - the copies that versions need, the most urgent first.
 * @param round - state of targets and demand.
 * @returns the copies.
 */
export function chooseLoads(
  copies: readonly VersionCopy[],
  round: PlanRound,
): VersionCopy[] {
  const chosen = copies.filter(({fromStore}) => !fromStore);
  for (const {softwareVersion, targets} of round.versions.values()) {
    if (targets.some(({isLoadingFromStore}) => isLoadingFromStore)) continue;
    const copy = copies.find(
      each =>
        each.softwareVersion === softwareVersion &&
        each.fromStore &&
        canPlace(each.model, round, account => targets.includes(account)),
    );
    if (copy !== undefined) chosen.push(copy);
  }
  return chosen;
}

/**
 * Returns the models of each version that only one of its targets holds.
 *
 * @param round - state of targets and demand.
 * @returns an entry for each version; none while all targets run the same.
 */
export function findLoneModels(round: PlanRound): LoneModels[] {
  return [...round.versions.values()].map(version => ({
    softwareVersion: version.softwareVersion,
    targetCount: version.targets.length,
    idleCount: version.targets.filter(({isBusy}) => !isBusy).length,
    requests: version.requestCount,
    models: [...version.requestsByModel]
      .filter(
        ([model, count]) =>
          count > 0 && round.isLone(version.softwareVersion, model),
      )
      .sort(([, a], [, b]) => b - a),
  }));
}
