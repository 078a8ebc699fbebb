/** Finds a target for a request. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PathView} from '../paths/path_view.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {CallerRequest, ModelDemand} from './caller_request.js';
import {
  backingOffRefusal,
  coldRefusal,
  cutOffRefusal,
  evacuatedRefusal,
  limitRefusal,
  noCapacityRefusal,
} from './capacity_refusal.js';
import {DeploymentState} from './deployment_state.js';
import {EngineConfig, REQUEST_KIND} from './deployment.js';
import {ModelFinder} from './model_finder.js';
import {RelayCall} from './relay_call.js';
import {
  chooseTarget,
  hasCandidate,
  isAllEvacuated,
  minBackOffMs,
} from './target_choice.js';
import {urgencyOf} from './urgency.js';
import {HostQueue, WaitPlace} from '../work/host_queue.js';
import {KnownTarget, TargetTable} from './target_table.js';
import {WorkModel} from '../work/work_model.js';

/** Pause before a request is sent again to targets that have all refused it. */
const ALL_REFUSED_PAUSE_MS = 60;

/** Time between checks for an open target of a service that has none. */
const NO_TARGET_POLL_MS = 50;

/**
 * How long a request waits for the limits of its targets, in latency
 * objectives, and at least.
 */
const MAX_LIMIT_WAIT_OBJECTIVES = 1.5;
const MIN_LIMIT_WAIT_MS = 600;

/**
 * How long a stream waits at this host for room at a target: callers of streams
 * wait for a first event for 3.5 objectives, and at least 1.8 s.
 */
const MAX_ROOM_WAIT_OBJECTIVES = 3.5;
const MIN_ROOM_WAIT_MS = 1_800;

/**
 * How long a request that a target has begun to run waits for a path to another
 * target: what it has cost is lost otherwise, and its caller may not repeat it.
 */
const MAX_PATH_WAIT_MS = 1_800;

/** Dependencies of {@link TargetSearch}. */
export interface TargetSearchParts {
  clock: Clock;
  random: Random;
  state: DeploymentState;
  targets: TargetTable;
  models: ModelFinder;
  work: WorkModel;
  /** Zone of this host. */
  zone: string;
  paths: PathView;
}

/** Chooses targets for requests, and waits until there is one. */
export class TargetSearch {
  /** Requests that wait for room at a target. */
  readonly waiting: HostQueue;

  /** @param parts - see {@link TargetSearchParts}. */
  constructor(private readonly parts: TargetSearchParts) {
    this.waiting = new HostQueue(parts.clock);
  }

  /**
   * Finds a target for the next send of a request.
   *
   * @param req - the request.
   * @param call - its progress.
   * @returns the target, or a refusal as soon as it is certain that none can
   *     take the request in time.
   */
  async find(
    req: CallerRequest,
    call: RelayCall<CallerRequest>,
  ): Promise<Result<KnownTarget, Refusal>> {
    const place = this.waiting.place({
      key: waitKey(req, call),
      urgency: urgencyOf(call),
      objectiveEndMs: req.arrivedMs + call.route.objectiveMs,
    });
    try {
      return await this.search(req, call, place);
    } finally {
      place.leave();
    }
  }

  private async search(
    req: CallerRequest,
    call: RelayCall<CallerRequest>,
    place: WaitPlace,
  ): Promise<Result<KnownTarget, Refusal>> {
    const {clock, models} = this.parts;
    const searchEndMs = req.arrivedMs + call.route.objectiveMs / 2;
    const pathWaitEndMs = clock.now() + MAX_PATH_WAIT_MS;
    const engine = this.engineOf(call);
    for (;;) {
      if (!this.canContinue(call)) {
        const message = 'no target runs the software version of the stream';
        return err(noCapacityRefusal(message));
      }
      if (this.isCutOff(call)) {
        const canWait = call.possibleRuns > 0 && clock.now() < pathWaitEndMs;
        if (!canWait) return err(cutOffRefusal());
        await clock.sleep(NO_TARGET_POLL_MS, call.waitSignal);
        if (call.waitSignal.aborted)
          return err(noCapacityRefusal('the time is over'));
        continue;
      }
      const options = {
        zone: this.parts.zone,
        tried: call.tried,
        draw: this.parts.random.float(),
        work: this.workOf(req, call),
      };
      const {demand} = req;
      const needsModel = engine !== undefined && demand !== undefined;
      if (needsModel && !engine.models.has(demand.model))
        return err(noCapacityRefusal('the configuration has no such model'));
      const candidates = this.candidatesFor(req, call);
      const {work} = options;
      if (work !== undefined && !work.service.canEverFit(work.size)) {
        const message = 'the prompt exceeds the memory of the targets';
        return err(refuse(REFUSAL.tooLarge, message));
      }
      const mustYield = work !== undefined && place.mustYield;
      const target = mustYield ? undefined : chooseTarget(candidates, options);
      const canWait = work !== undefined && hasCandidate(candidates, options);
      if (target === undefined && canWait) {
        if (clock.now() >= this.roomWaitEndMs(req, call))
          return err(noCapacityRefusal('every target is full'));
        await place.wait(call.waitSignal);
        if (call.waitSignal.aborted)
          return err(noCapacityRefusal('the time is over'));
        continue;
      }
      if (target !== undefined && !target.health.isAvoided) {
        if (target.throttledLeftMs === 0) return ok(target);
        const found = await this.findUnthrottled(target, req, call);
        if (found !== undefined) return found;
        continue;
      }
      if (isAllEvacuated(this.targetsFor(call))) return err(evacuatedRefusal());
      const backOffMs = minBackOffMs(candidates);
      if (backOffMs !== undefined) return err(backingOffRefusal(backOffMs));
      if (needsModel) {
        const found = await models.find(
          this.modelSearch(req, call),
          call.waitSignal,
        );
        if (found.isOk() && call.lacking.has(found.value, demand)) {
          call.lacking.recordNamed(found.value);
          await clock.sleep(ALL_REFUSED_PAUSE_MS, call.waitSignal);
          if (!call.waitSignal.aborted) continue;
          return err(noCapacityRefusal('the time is over'));
        }
        if (found.isOk() || target === undefined) return found;
      }
      if (target !== undefined) return ok(target);
      if (call.tried.size > 0) {
        call.tried.clear();
        await clock.sleep(ALL_REFUSED_PAUSE_MS, call.waitSignal);
      } else if (clock.now() < searchEndMs) {
        await clock.sleep(NO_TARGET_POLL_MS, call.waitSignal);
      } else {
        return err(noCapacityRefusal('no target of the service is open'));
      }
      if (call.waitSignal.aborted)
        return err(noCapacityRefusal('the time is over'));
    }
  }

  /**
   * Checks whether a request could be sent to another target now.
   *
   * @param target - the target that runs the request.
   * @param req - the request.
   * @param call - its progress.
   * @returns whether there is one.
   */
  hasOther(
    target: KnownTarget,
    req: CallerRequest,
    call: RelayCall<CallerRequest>,
  ): boolean {
    const tried = new Set(call.tried).add(target.registration.id);
    const candidates = this.candidatesFor(req, call);
    const other = chooseTarget(candidates, {
      zone: this.parts.zone,
      tried,
      draw: 0,
      work: this.workOf(req, call),
    });
    if (other === undefined || other.health.isAvoided) return false;
    return other.throttledLeftMs === 0;
  }

  /** Returns the clock time until which a request waits for room. */
  private roomWaitEndMs(
    {arrivedMs}: CallerRequest,
    {deadlineMs, mustContinue, route}: RelayCall<CallerRequest>,
  ): number {
    if (route.kind !== REQUEST_KIND.stream || mustContinue) return deadlineMs;
    const objectivesMs = route.objectiveMs * MAX_ROOM_WAIT_OBJECTIVES;
    const waitMs = Math.max(MIN_ROOM_WAIT_MS, objectivesMs);
    return Math.min(deadlineMs, arrivedMs + waitMs);
  }

  /** Returns the work of the request, if its service has a model of work. */
  private workOf(req: CallerRequest, call: RelayCall<CallerRequest>) {
    const {objectiveMs} = call.route;
    return this.parts.work.workOf(call.service, req, objectiveMs);
  }

  /** Returns whether this host reaches none of the open targets. */
  private isCutOff(call: RelayCall<CallerRequest>): boolean {
    const {paths} = this.parts;
    if (!paths.hasLost) return false;
    const open = this.targetsFor(call).filter(target => target.isOpen);
    return open.length > 0 && !open.some(target => paths.canReach(target));
  }

  /** Returns the targets of the service that may run the request. */
  private targetsFor(call: RelayCall<CallerRequest>): readonly KnownTarget[] {
    const all = this.parts.targets.ofService(call.service);
    if (!call.isVersionFixed) return all;
    return all.filter(target => call.canUseVersionOf(target));
  }

  /** Returns whether there is any target that may go on with the stream. */
  private canContinue(call: RelayCall<CallerRequest>): boolean {
    if (!call.isVersionFixed) return true;
    return this.targetsFor(call).some(target => target.isOpen);
  }

  /** Returns the targets that this host reaches and that hold the model. */
  private candidatesFor(
    {demand}: CallerRequest,
    call: RelayCall<CallerRequest>,
  ): readonly KnownTarget[] {
    const {paths} = this.parts;
    const holders = this.holdersFor(demand, call);
    if (!paths.hasLost) return holders;
    return holders.filter(target => paths.canReach(target));
  }

  /** Returns the targets of the service that hold the model, if it needs one. */
  private holdersFor(
    demand: ModelDemand | undefined,
    call: RelayCall<CallerRequest>,
  ): readonly KnownTarget[] {
    if (this.engineOf(call) === undefined || demand === undefined)
      return this.targetsFor(call);
    const holders = this.parts.targets.holding(call.service, demand);
    if (!call.isVersionFixed && call.lacking.isEmpty) return holders;
    return holders.filter(
      target =>
        call.canUseVersionOf(target) && !call.lacking.has(target, demand),
    );
  }

  /**
   * Looks for a target with the model of a request while the limits of the
   * known ones are used up, and waits for these.
   *
   * @param target - the target that may be used first.
   * @returns the target found or a refusal; undefined if the target may be
   *     used now.
   */
  private async findUnthrottled(
    target: KnownTarget,
    req: CallerRequest,
    call: RelayCall<CallerRequest>,
  ): Promise<Result<KnownTarget, Refusal> | undefined> {
    const {clock, models} = this.parts;
    let readyMs = 0;
    if (req.demand !== undefined && this.engineOf(call) !== undefined) {
      const limited = new AbortController();
      const abort = () => limited.abort();
      const timer = clock.after(target.throttledLeftMs, abort);
      call.waitSignal.addEventListener('abort', abort);
      const search = this.modelSearch(req, call);
      const found = await models.find(search, limited.signal);
      timer.cancel();
      call.waitSignal.removeEventListener('abort', abort);
      const isUsable =
        found.isOk() && !call.lacking.has(found.value, req.demand);
      if (isUsable) return found;
      if (found.isErr() && !limited.signal.aborted)
        readyMs = found.error.retryAfterMs ?? 0;
    }
    const waitMs = target.throttledLeftMs;
    const isCold = target.coldLeftMs > 0;
    const objectivesMs = call.route.objectiveMs * MAX_LIMIT_WAIT_OBJECTIVES;
    const patienceMs = isCold
      ? call.route.objectiveMs
      : Math.max(MIN_LIMIT_WAIT_MS, objectivesMs);
    const endMs = Math.min(call.deadlineMs, req.arrivedMs + patienceMs);
    if (clock.now() + waitMs >= endMs || call.waitSignal.aborted)
      return err(
        isCold ? coldRefusal(waitMs) : limitRefusal(Math.max(waitMs, readyMs)),
      );
    await clock.sleep(waitMs, call.waitSignal);
    return undefined;
  }

  private modelSearch(req: CallerRequest, call: RelayCall<CallerRequest>) {
    return {
      id: req.id,
      service: call.service,
      demand: req.demand!,
      objectiveEndMs: req.arrivedMs + call.route.objectiveMs,
      deadlineMs: call.deadlineMs,
      tried: this.targetsToAvoid(req.demand!, call),
      softwareVersion: call.softwareVersion,
    };
  }

  /** Returns the ids of the targets that cannot take the request now. */
  private targetsToAvoid(
    demand: ModelDemand,
    call: RelayCall<CallerRequest>,
  ): ReadonlySet<string> {
    const avoided = new Set(call.tried);
    for (const target of this.parts.targets.ofService(call.service)) {
      const isUnusable =
        target.backOffLeftMs > 0 ||
        target.throttledLeftMs > 0 ||
        !this.parts.paths.canReach(target);
      if (isUnusable) avoided.add(target.registration.id);
    }
    call.lacking.addExcluded(avoided, demand);
    return avoided;
  }

  private engineOf(call: RelayCall<CallerRequest>): EngineConfig | undefined {
    const {deployment} = this.parts.state.current!;
    return deployment.services.get(call.service)?.engine;
  }
}

/** Returns what requests that wait for the same targets have in common. */
function waitKey(
  {demand}: CallerRequest,
  {service}: RelayCall<CallerRequest>,
): string {
  return `${service} ${demand?.model ?? ''}/${demand?.adapter ?? ''}`;
}
