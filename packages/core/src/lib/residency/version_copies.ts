/** Chooses copies by which streams can go on at their software version. @packageDocumentation */

import {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/**
 * Fraction of the requests in flight at the targets of a version that a model
 * must have for a second copy there, and to keep that copy.
 */
const MIN_COPIED_SHARE = 0.2;
const MIN_KEPT_SHARE = 0.1;

/** Requests in flight for a model at a version from which it is copied. */
const MIN_COPIED_REQUESTS = 3;

/** Copies of a model at each version among which a stream can be moved. */
const COPIES_PER_VERSION = 2;

/** A model that another target of a software version should load. */
export interface VersionCopy {
  model: string;
  softwareVersion: string;
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

/** Groups reachable targets by version; empty while all run the same. */
function targetsByVersion(round: PlanRound): Map<string, ResidencyAccount[]> {
  const byVersion = new Map<string, ResidencyAccount[]>();
  for (const account of round.accounts) {
    const {softwareVersion} = account.target.registration;
    if (softwareVersion === undefined || !account.isReachable) continue;
    const targets = byVersion.get(softwareVersion);
    if (targets === undefined) byVersion.set(softwareVersion, [account]);
    else targets.push(account);
  }
  if (byVersion.size < 2) byVersion.clear();
  return byVersion;
}

/**
 * Chooses the busiest model of each version that only one of its targets holds.
 * When that target ends, its streams could go on nowhere else in time.
 *
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 * @returns at most one model for each version; none while all targets run the
 *     same version.
 */
export function chooseVersionCopies(
  round: PlanRound,
  usage: UsageTable,
): VersionCopy[] {
  const chosen: VersionCopy[] = [];
  for (const [softwareVersion, targets] of targetsByVersion(round)) {
    if (targets.length < COPIES_PER_VERSION) continue;
    const counts = countByModel(targets, usage);
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const isBusy = (count: number) =>
      count >= MIN_COPIED_REQUESTS && count >= total * MIN_COPIED_SHARE;
    const lone = [...counts]
      .filter(([model, count]) => isBusy(count) && isLone(model, targets))
      .sort(([, a], [, b]) => b - a);
    if (lone.length === 0) continue;
    const [model] = lone[0];
    const retiring = round
      .retiring(model)
      .filter(account => targets.includes(account));
    chosen.push({model, softwareVersion, retiring});
  }
  return chosen;
}

/**
 * Returns the models of each version that only one of its targets holds.
 *
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 * @returns an entry for each version; none while all targets run the same.
 */
export function findLoneModels(
  round: PlanRound,
  usage: UsageTable,
): LoneModels[] {
  const found: LoneModels[] = [];
  for (const [softwareVersion, targets] of targetsByVersion(round)) {
    const counts = countByModel(targets, usage);
    found.push({
      softwareVersion,
      targetCount: targets.length,
      idleCount: targets.filter(({isBusy}) => !isBusy).length,
      requests: [...counts.values()].reduce((sum, count) => sum + count, 0),
      models: [...counts]
        .filter(([model, count]) => count > 0 && isLone(model, targets))
        .sort(([, a], [, b]) => b - a),
    });
  }
  return found;
}

/**
 * Returns whether the streams of a software version need a copy.
 *
 * @param model - the model.
 * @param account - the target that holds the copy.
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 */
export function isNeededByVersion(
  model: string,
  account: ResidencyAccount,
  round: PlanRound,
  usage: UsageTable,
): boolean {
  const {softwareVersion = ''} = account.target.registration;
  const targets = targetsByVersion(round).get(softwareVersion);
  if (targets === undefined) return false;
  const copies = round.copies(model).filter(copy => targets.includes(copy));
  if (copies.length > COPIES_PER_VERSION) return false;
  const counts = countByModel(targets, usage);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return total > 0 && (counts.get(model) ?? 0) >= total * MIN_KEPT_SHARE;
}

function isLone(model: string, targets: readonly ResidencyAccount[]): boolean {
  const holders = targets.filter(account => {
    const isRetiring = account.residents.get(model)?.isRetiring ?? false;
    return account.isHeldOrLoading(model) && !isRetiring;
  });
  return holders.length === 1;
}

function countByModel(
  targets: readonly ResidencyAccount[],
  usage: UsageTable,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {id, residents} of targets) {
    for (const model of residents.keys()) {
      const count = usage.inFlight(id, model);
      counts.set(model, (counts.get(model) ?? 0) + count);
    }
  }
  return counts;
}
