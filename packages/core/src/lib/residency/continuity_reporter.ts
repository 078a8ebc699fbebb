/** Logs which streams could not go on at their software version. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {ResidencyRequest} from './residency_request.js';
import {findLoneModels} from './version_copies.js';

/** Time between reports of the models that one target alone holds. */
const REPORT_INTERVAL_MS = 1_000;

/** Dependencies of {@link ContinuityReporter}. */
export interface ContinuityReporterParts {
  clock: Clock;
  logger: Logger;
}

/** Logs what tells apart why streams do not go on; nothing with one version. */
export class ContinuityReporter {
  private readonly reportedMs = new Map<string, number>();

  /** @param parts - see {@link ContinuityReporterParts}. */
  constructor(private readonly parts: ContinuityReporterParts) {}

  /**
   * Logs which models with requests only one target of a version holds.
   *
   * @param service - name of the service.
   * @param round - state of its targets and of the demand.
   */
  reportLoneModels(service: string, round: PlanRound): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.now();
    const reportedMs = this.reportedMs.get(service) ?? -Infinity;
    if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
    this.reportedMs.set(service, nowMs);
    for (const lone of findLoneModels(round)) {
      if (lone.models.length === 0) continue;
      logger.info('models_held_once', {
        service,
        version: lone.softwareVersion,
        targets: lone.targetCount,
        idle_targets: lone.idleCount,
        in_flight: lone.requests,
        models: lone.models.map(entry => entry.join(':')).join(','),
      });
    }
  }

  /**
   * Logs that a stream is refused, as its model would be ready too late.
   *
   * @param request - the request for it.
   * @param accounts - the targets of its version.
   * @param readyInMs - time until the model is expected to be ready.
   */
  reportRefused(
    {model, service, softwareVersion}: ResidencyRequest,
    accounts: readonly ResidencyAccount[],
    readyInMs: number,
  ): void {
    if (softwareVersion === undefined) return;
    const holders = accounts.filter(each => each.isHeldOrLoading(model));
    const local = accounts.filter(each => !each.loadEstimate(model).fromStore);
    const isUnreachable = (account: ResidencyAccount) => !account.isReachable;
    this.parts.logger.info('stream_not_continued', {
      service,
      model,
      version: softwareVersion,
      ready_in_ms: Math.round(readyInMs),
      targets: accounts.length,
      unreachable: accounts.filter(isUnreachable).length,
      holders: holders.length,
      holders_unreachable: holders.filter(isUnreachable).length,
      with_weights: local.length,
      with_weights_unreachable: local.filter(isUnreachable).length,
    });
  }
}
