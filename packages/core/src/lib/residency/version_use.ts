/** Which software versions serve, and their requests in flight. @packageDocumentation */

import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** The reachable targets of one software version, and what they run. */
export class VersionUse {
  private readonly counts = new Map<string, number>();
  /** Requests in flight at all targets. */
  readonly requestCount: number;

  /**
   * @param softwareVersion - the version.
   * @param targets - its reachable targets.
   * @param usage - requests in flight.
   */
  constructor(
    readonly softwareVersion: string,
    readonly targets: readonly ResidencyAccount[],
    usage: UsageTable,
  ) {
    let requestCount = 0;
    for (const account of targets) {
      for (const model of account.residents.keys()) {
        const count = usage.inFlight(account.id, model);
        this.counts.set(model, this.inFlight(model) + count);
        requestCount += count;
      }
    }
    this.requestCount = requestCount;
  }

  /** Models that the targets hold, with their requests in flight. */
  get requestsByModel(): Iterable<[string, number]> {
    return this.counts;
  }

  /** Returns the requests in flight for a model. */
  inFlight(model: string): number {
    return this.counts.get(model) ?? 0;
  }

  /**
   * Returns the number of targets that hold a model or have its weights, without
   * those that another load keeps busy for seconds.
   */
  localCount(model: string): number {
    const isLocal = (account: ResidencyAccount) =>
      account.isHeldOrLoading(model) ||
      (!account.isLoadingFromStore && !account.loadEstimate(model).fromStore);
    return this.targets.filter(isLocal).length;
  }

  /** Returns the targets that hold or load a model and keep it. */
  keepers(model: string): readonly ResidencyAccount[] {
    return this.targets.filter(account => {
      const isRetiring = account.residents.get(model)?.isRetiring ?? false;
      return account.isHeldOrLoading(model) && !isRetiring;
    });
  }
}

/**
 * Groups reachable targets by software version.
 *
 * @param accounts - the targets of a service.
 * @param usage - requests in flight.
 * @returns the versions; none while all targets run the same.
 */
export function versionsInUse(
  accounts: readonly ResidencyAccount[],
  usage: UsageTable,
): ReadonlyMap<string, VersionUse> {
  const targetsByVersion = new Map<string, ResidencyAccount[]>();
  for (const account of accounts) {
    const {softwareVersion} = account.target.registration;
    if (softwareVersion === undefined || !account.isReachable) continue;
    const targets = targetsByVersion.get(softwareVersion);
    if (targets === undefined) targetsByVersion.set(softwareVersion, [account]);
    else targets.push(account);
  }
  const versions = new Map<string, VersionUse>();
  if (targetsByVersion.size < 2) return versions;
  for (const [version, targets] of targetsByVersion)
    versions.set(version, new VersionUse(version, targets, usage));
  return versions;
}
