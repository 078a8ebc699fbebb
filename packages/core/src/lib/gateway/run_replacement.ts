/** Secures the replacement of runs that may have stopped. @packageDocumentation */

import {Admission} from './admission.js';
import {CallerRequest} from './caller_request.js';
import {RelayCall} from './relay_call.js';
import {RetryAllowance} from './retry_allowance.js';
import {TargetSearch} from './target_search.js';
import {KnownTarget} from './target_table.js';

/**
 * Decides whether a run may be given up for a run at another target. Giving it
 * up without one would end the answer to the caller, although the target may
 * still complete it.
 */
export class RunReplacement {
  /**
   * @param admission - knows which requests may still run.
   * @param search - finds other targets.
   * @param retries - the retry budgets.
   */
  constructor(
    private readonly admission: Admission,
    private readonly search: TargetSearch,
    private readonly retries: RetryAllowance,
  ) {}

  /**
   * Secures another target and a retry for a request.
   *
   * @param target - the target that runs the request.
   * @param req - the request.
   * @param call - its progress; it holds the retry afterwards.
   * @param isTargetLost - whether the run can't go on; then a retry is enough,
   *     as another target may have to load the model first.
   * @returns whether the run may be given up.
   */
  trySecure(
    target: KnownTarget,
    req: CallerRequest,
    call: RelayCall<CallerRequest>,
    isTargetLost: boolean,
  ): boolean {
    if (!call.canRunElsewhere) return false;
    if (!isTargetLost) {
      // A run may end although its key was withdrawn; another may not begin.
      if (this.admission.recheck(req, call.team) !== undefined) return false;
      if (!this.search.hasOther(target, req, call)) return false;
    }
    if (!call.holdsRetry) call.holdsRetry = this.retries.tryRetry(call.service);
    return call.holdsRetry;
  }
}
