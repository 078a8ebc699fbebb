/** Queue of requests that wait for a batch slot. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PlacementClient} from '../placement/placement_client.js';
import {ReplicaDirectory, TargetView} from '../placement/replica_directory.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock, Timer} from '../time/clock.js';
import {FairOrder} from './fair_order.js';
import {ModelQueue, ModelQueueItem} from './model_queue.js';
import {ServiceTimes} from './service_times.js';

/** Maximum number of requests of one team that wait at a host. */
export const MAX_WAITING_PER_TEAM = 2_000;

/** Minimum retry-after of a refused request, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/**
 * Delay before a replica is requested again that was reported as ready but is
 * not in the directory, in milliseconds.
 */
const REPLICA_REQUEST_RETRY_MS = 50;

/** A request's demand for a batch slot. */
export interface SlotDemand {
  requestId: string;
  team: string;
  model: string;
  adapter: string | undefined;
  /** Prompt tokens plus the maximum number of generated tokens. */
  tokens: number;
  /** Clock time by which the request must end, in milliseconds. */
  deadlineMs: number;
  /** Targets on which the request failed; others are preferred. */
  avoid?: ReadonlySet<string>;
}

/** A batch slot of a target, held by one request. */
export interface Slot {
  target: string;
  /** Frees the slot; later calls do nothing. */
  release(): void;
}

interface WaitingRequest extends ModelQueueItem {
  demand: SlotDemand;
  finish: (result: Result<Slot, Refusal>) => void;
}

/** Dependencies and settings of a {@link RequestQueue}. */
export interface RequestQueueOptions {
  clock: Clock;
  directory: ReplicaDirectory;
  placement: PlacementClient;
  /** Returns the weight of a team in fair queueing; 1 by default. */
  weightOf?: (team: string) => number;
}

/**
 * The requests that wait for a batch slot at this host.
 *
 * Slots are divided between teams by weighted fair queueing over tokens; within
 * a team, the request with the earliest deadline is served first. A request
 * that is not expected to start before its deadline is refused on arrival. The
 * cost of a scheduling decision depends on the number of waiting teams and
 * models, not on the number of waiting requests.
 */
export class RequestQueue {
  private readonly modelQueues = new Map<string, ModelQueue<WaitingRequest>>();
  private readonly slotsInUse = new Map<string, number>();
  private readonly waitingByTeam = new Map<string, number>();
  private readonly fairOrder: FairOrder;
  private readonly serviceTimes = new ServiceTimes();
  private waiting = 0;

  constructor(private readonly options: RequestQueueOptions) {
    const {directory, weightOf = () => 1} = options;
    this.fairOrder = new FairOrder(weightOf);
    directory.onChange(() => this.refreshReadyTargets());
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.waiting;
  }

  /**
   * Waits for a batch slot.
   *
   * @param demand - the request that needs the slot.
   * @param signal - aborts the wait.
   * @returns the slot, or a refusal as soon as no slot is expected before the
   *     deadline.
   */
  acquire(
    demand: SlotDemand,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> {
    const queue = this.modelQueueOf(demand);
    const refusal = this.refusalOf(demand, queue);
    if (refusal !== undefined) {
      this.dropIfEmpty(queue);
      return Promise.resolve(err(refusal));
    }
    const slot = this.waitForSlot(demand, queue, signal);
    if (queue.ready.length === 0) this.requestReplica(queue);
    for (const {target} of queue.ready) this.serveTarget(target);
    return slot;
  }

  private waitForSlot(
    demand: SlotDemand,
    queue: ModelQueue<WaitingRequest>,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> {
    const {clock} = this.options;
    const {team, deadlineMs} = demand;
    return new Promise(resolve => {
      let isWaiting = true;
      const request: WaitingRequest = {
        team,
        deadlineMs,
        demand,
        finish: result => {
          if (!isWaiting) return;
          isWaiting = false;
          timer.cancel();
          signal.removeEventListener('abort', onAbort);
          this.remove(request, queue);
          resolve(result);
        },
      };
      const refuseWith = (message: string) =>
        request.finish(err(refuse(REFUSAL.deadline, message)));
      const onAbort = () => refuseWith('the wait was given up');
      const timer: Timer = clock.after(deadlineMs - clock.now(), () =>
        refuseWith('no slot was free before the deadline'),
      );
      this.add(request, queue);
      signal.addEventListener('abort', onAbort);
      if (signal.aborted) onAbort();
    });
  }

  private add(
    request: WaitingRequest,
    queue: ModelQueue<WaitingRequest>,
  ): void {
    const {team} = request;
    const before = this.waitingByTeam.get(team) ?? 0;
    if (before === 0) this.fairOrder.activate(team);
    this.waitingByTeam.set(team, before + 1);
    this.waiting += 1;
    queue.add(request);
  }

  private remove(
    request: WaitingRequest,
    queue: ModelQueue<WaitingRequest>,
  ): void {
    const {team} = request;
    const left = this.waitingByTeam.get(team)! - 1;
    if (left === 0) this.waitingByTeam.delete(team);
    else this.waitingByTeam.set(team, left);
    this.waiting -= 1;
    queue.remove(request);
    this.dropIfEmpty(queue);
  }

  private modelQueueOf({
    model,
    adapter,
  }: SlotDemand): ModelQueue<WaitingRequest> {
    const key = modelQueueKey(model, adapter);
    let queue = this.modelQueues.get(key);
    if (queue === undefined) {
      queue = new ModelQueue(model, adapter);
      queue.ready = this.options.directory.readyTargets(model, adapter);
      this.modelQueues.set(key, queue);
    }
    return queue;
  }

  private dropIfEmpty(queue: ModelQueue<WaitingRequest>): void {
    if (queue.length > 0 || queue.isReplicaRequested) return;
    const key = modelQueueKey(queue.model, queue.adapter);
    if (this.modelQueues.get(key) === queue) this.modelQueues.delete(key);
  }

  private refusalOf(
    {team, deadlineMs}: SlotDemand,
    queue: ModelQueue<WaitingRequest>,
  ): Refusal | undefined {
    if ((this.waitingByTeam.get(team) ?? 0) >= MAX_WAITING_PER_TEAM) {
      const message = 'too many requests of the team are waiting';
      return refuse(REFUSAL.noCapacity, message, MIN_RETRY_AFTER_MS);
    }
    const startMs = this.expectedStartMs(team, deadlineMs, queue);
    const slackMs = deadlineMs - this.options.clock.now();
    if (startMs === undefined || startMs < slackMs) return undefined;
    const message = 'the request could not start before its deadline';
    const retryMs = Math.max(MIN_RETRY_AFTER_MS, startMs - slackMs);
    return refuse(REFUSAL.deadline, message, retryMs);
  }

  /**
   * Predicts when a request would start.
   *
   * @returns milliseconds from now; undefined if there is no basis for a
   *     prediction.
   */
  private expectedStartMs(
    team: string,
    deadlineMs: number,
    queue: ModelQueue<WaitingRequest>,
  ): number | undefined {
    const {model, adapter} = queue;
    const readyMs = this.options.directory.expectedReadyInMs(model, adapter);
    const ahead = queue.teamQueue(team)?.countAhead(deadlineMs) ?? 0;
    const holdMs = this.serviceTimes.expectedMs(model);
    const {slots} = queue;
    if (ahead === 0 || holdMs === undefined || slots === 0) return readyMs;
    const roundMs = holdMs / (slots * this.shareOf(team, queue));
    const queueMs = (ahead + 1) * roundMs;
    return (readyMs ?? 0) + queueMs;
  }

  /** Returns the minimum fraction of a model's slots that a team gets. */
  private shareOf(team: string, queue: ModelQueue<WaitingRequest>): number {
    const {weightOf = () => 1} = this.options;
    const own = weightOf(team);
    let total = 0;
    for (const other of queue.teams) total += weightOf(other);
    return queue.teamQueue(team) === undefined
      ? own / (total + own)
      : own / total;
  }

  private refreshReadyTargets(): void {
    const {directory} = this.options;
    for (const queue of this.modelQueues.values()) {
      queue.ready = directory.readyTargets(queue.model, queue.adapter);
      if (queue.ready.length === 0 && queue.length > 0)
        this.requestReplica(queue);
    }
    for (const {target} of directory.targets()) this.serveTarget(target);
  }

  /** Assigns the free slots of a target to waiting requests, in fair order. */
  private serveTarget(target: string): void {
    for (;;) {
      const queue = this.nextModelQueue(target);
      const team = queue === undefined ? undefined : this.nextTeam(queue);
      if (queue === undefined || team === undefined) return;
      const next = queue.teamQueue(team)!.first()!;
      const chosen = this.chooseTarget(queue.ready, next.demand);
      this.fairOrder.charge(team, next.demand.tokens);
      next.finish(ok(this.takeSlot(chosen.target, queue.model)));
    }
  }

  /**
   * Returns the model queue that the target serves next, if it has a free slot
   * and requests are waiting that it can run.
   */
  private nextModelQueue(
    target: string,
  ): ModelQueue<WaitingRequest> | undefined {
    let best: ModelQueue<WaitingRequest> | undefined;
    let bestTime = Infinity;
    for (const queue of this.modelQueues.values()) {
      const view = queue.ready.find(ready => ready.target === target);
      if (queue.length === 0 || view === undefined) continue;
      if (!this.hasFreeSlot(view)) continue;
      const time = this.fairOrder.virtualTimeOf(this.nextTeam(queue)!);
      if (time >= bestTime) continue;
      best = queue;
      bestTime = time;
    }
    return best;
  }

  private nextTeam(queue: ModelQueue<WaitingRequest>): string | undefined {
    let best: string | undefined;
    for (const team of queue.teams) {
      const isLess =
        best === undefined ||
        this.fairOrder.virtualTimeOf(team) < this.fairOrder.virtualTimeOf(best);
      if (isLess) best = team;
    }
    return best;
  }

  private chooseTarget(
    ready: readonly TargetView[],
    {avoid}: SlotDemand,
  ): TargetView {
    const loadOf = ({target, slots}: TargetView) =>
      (this.slotsInUse.get(target) ?? 0) / slots;
    const free = ready
      .filter(view => this.hasFreeSlot(view))
      .sort((a, b) => loadOf(a) - loadOf(b));
    return free.find(({target}) => !avoid?.has(target)) ?? free[0];
  }

  private hasFreeSlot({target, slots}: TargetView): boolean {
    return (this.slotsInUse.get(target) ?? 0) < slots;
  }

  private takeSlot(target: string, model: string): Slot {
    const {clock} = this.options;
    const takenMs = clock.now();
    this.slotsInUse.set(target, (this.slotsInUse.get(target) ?? 0) + 1);
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      this.slotsInUse.set(target, this.slotsInUse.get(target)! - 1);
      this.serviceTimes.observe(model, clock.now() - takenMs);
      this.serveTarget(target);
    };
    return {target, release};
  }

  private requestReplica(queue: ModelQueue<WaitingRequest>): void {
    if (queue.isReplicaRequested) return;
    queue.isReplicaRequested = true;
    void this.provideReplica(queue);
  }

  private async provideReplica(
    queue: ModelQueue<WaitingRequest>,
  ): Promise<void> {
    const {clock, placement, directory} = this.options;
    const {model, adapter, length: waitingRequests} = queue;
    const earliestDeadlineMs = queue.earliestDeadlineMs();
    const slackMs = earliestDeadlineMs - clock.now();
    const signal = new AbortController().signal;
    const replicaDemand = {model, adapter, slackMs, waiting: waitingRequests};
    const provided = await placement.provide(replicaDemand, signal);
    queue.ready = directory.readyTargets(model, adapter);
    if (provided.isErr())
      this.refuseWithoutReplica(queue, earliestDeadlineMs, provided.error);
    else if (queue.ready.length === 0)
      await clock.sleep(REPLICA_REQUEST_RETRY_MS);
    queue.isReplicaRequested = false;
    this.dropIfEmpty(queue);
    if (queue.length === 0) return;
    if (queue.ready.length === 0) this.requestReplica(queue);
    for (const {target} of queue.ready) this.serveTarget(target);
  }

  /**
   * Refuses waiting requests after no replica could be provided. If that was
   * only because time ran out, the requests with later deadlines keep waiting.
   */
  private refuseWithoutReplica(
    queue: ModelQueue<WaitingRequest>,
    earliestDeadlineMs: number,
    message: string,
  ): void {
    const nowMs = this.options.clock.now();
    const refusal = refuse(REFUSAL.noCapacity, message, MIN_RETRY_AFTER_MS);
    for (const {deadlineMs, finish} of queue.all()) {
      if (nowMs < earliestDeadlineMs || deadlineMs <= nowMs)
        finish(err(refusal));
    }
  }
}

function modelQueueKey(model: string, adapter: string | undefined): string {
  return `${model}\n${adapter ?? ''}`;
}
