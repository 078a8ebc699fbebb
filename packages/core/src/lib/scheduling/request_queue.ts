/** Queue of requests that wait for a batch slot. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PlacementClient} from '../placement/placement_client.js';
import {ReplicaDirectory, TargetView} from '../placement/replica_directory.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock, Timer} from '../time/clock.js';
import {FairOrder} from './fair_order.js';
import {Lane, LaneItem} from './lane.js';
import {ServiceTimes} from './service_times.js';

/** Maximum number of requests of one team that wait at a host. */
export const MAX_WAITING_PER_TEAM = 2_000;

/** Minimum retry-after of a refused request, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/**
 * Delay before a replica is requested again that was reported as ready but is
 * not in the directory, in milliseconds.
 */
const WANT_AGAIN_MS = 50;

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

interface Waiting extends LaneItem {
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
  private readonly lanes = new Map<string, Lane<Waiting>>();
  private readonly inUse = new Map<string, number>();
  private readonly waitingByTeam = new Map<string, number>();
  private readonly order: FairOrder;
  private readonly times = new ServiceTimes();
  private waiting = 0;

  constructor(private readonly options: RequestQueueOptions) {
    const {directory, weightOf = () => 1} = options;
    this.order = new FairOrder(weightOf);
    directory.onChange(() => this.followDirectory());
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
    const lane = this.laneOf(demand);
    const refusal = this.refusalOf(demand, lane);
    if (refusal !== undefined) {
      this.dropIfEmpty(lane);
      return Promise.resolve(err(refusal));
    }
    const slot = this.wait(demand, lane, signal);
    if (lane.ready.length === 0) this.wantReplica(lane);
    for (const {target} of lane.ready) this.serveTarget(target);
    return slot;
  }

  private wait(
    demand: SlotDemand,
    lane: Lane<Waiting>,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> {
    const {clock} = this.options;
    const {team, deadlineMs} = demand;
    return new Promise(resolve => {
      let isWaiting = true;
      const waiting: Waiting = {
        team,
        deadlineMs,
        demand,
        finish: result => {
          if (!isWaiting) return;
          isWaiting = false;
          timer.cancel();
          signal.removeEventListener('abort', giveUp);
          this.remove(waiting, lane);
          resolve(result);
        },
      };
      const refuseWith = (message: string) =>
        waiting.finish(err(refuse(REFUSAL.deadline, message)));
      const giveUp = () => refuseWith('the wait was given up');
      const timer: Timer = clock.after(deadlineMs - clock.now(), () =>
        refuseWith('no slot was free before the deadline'),
      );
      this.add(waiting, lane);
      signal.addEventListener('abort', giveUp);
      if (signal.aborted) giveUp();
    });
  }

  private add(waiting: Waiting, lane: Lane<Waiting>): void {
    const {team} = waiting;
    const before = this.waitingByTeam.get(team) ?? 0;
    if (before === 0) this.order.activate(team);
    this.waitingByTeam.set(team, before + 1);
    this.waiting += 1;
    lane.add(waiting);
  }

  private remove(waiting: Waiting, lane: Lane<Waiting>): void {
    const {team} = waiting;
    const left = this.waitingByTeam.get(team)! - 1;
    if (left === 0) this.waitingByTeam.delete(team);
    else this.waitingByTeam.set(team, left);
    this.waiting -= 1;
    lane.remove(waiting);
    this.dropIfEmpty(lane);
  }

  private laneOf({model, adapter}: SlotDemand): Lane<Waiting> {
    const key = laneKey(model, adapter);
    let lane = this.lanes.get(key);
    if (lane === undefined) {
      lane = new Lane(model, adapter);
      lane.ready = this.options.directory.ready(model, adapter);
      this.lanes.set(key, lane);
    }
    return lane;
  }

  private dropIfEmpty(lane: Lane<Waiting>): void {
    if (lane.length > 0 || lane.isWanted) return;
    const key = laneKey(lane.model, lane.adapter);
    if (this.lanes.get(key) === lane) this.lanes.delete(key);
  }

  private refusalOf(
    {team, deadlineMs}: SlotDemand,
    lane: Lane<Waiting>,
  ): Refusal | undefined {
    if ((this.waitingByTeam.get(team) ?? 0) >= MAX_WAITING_PER_TEAM) {
      const message = 'too many requests of the team are waiting';
      return refuse(REFUSAL.noCapacity, message, MIN_RETRY_AFTER_MS);
    }
    const startMs = this.expectedStartMs(team, deadlineMs, lane);
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
    lane: Lane<Waiting>,
  ): number | undefined {
    const {model, adapter} = lane;
    const readyMs = this.options.directory.expectedReadyInMs(model, adapter);
    const ahead = lane.line(team)?.ahead(deadlineMs) ?? 0;
    const holdMs = this.times.expectedMs(model);
    const {slots} = lane;
    if (ahead === 0 || holdMs === undefined || slots === 0) return readyMs;
    const roundMs = holdMs / (slots * this.shareOf(team, lane));
    const queueMs = (ahead + 1) * roundMs;
    return (readyMs ?? 0) + queueMs;
  }

  /** Returns the minimum fraction of a model's slots that a team gets. */
  private shareOf(team: string, lane: Lane<Waiting>): number {
    const {weightOf = () => 1} = this.options;
    const own = weightOf(team);
    let total = 0;
    for (const other of lane.teams) total += weightOf(other);
    return lane.line(team) === undefined ? own / (total + own) : own / total;
  }

  private followDirectory(): void {
    const {directory} = this.options;
    for (const lane of this.lanes.values()) {
      lane.ready = directory.ready(lane.model, lane.adapter);
      if (lane.ready.length === 0 && lane.length > 0) this.wantReplica(lane);
    }
    for (const {target} of directory.targets()) this.serveTarget(target);
  }

  /** Assigns the free slots of a target to waiting requests, in fair order. */
  private serveTarget(target: string): void {
    for (;;) {
      const lane = this.nextLane(target);
      const team = lane === undefined ? undefined : this.nextTeam(lane);
      if (lane === undefined || team === undefined) return;
      const next = lane.line(team)!.first()!;
      const chosen = this.choose(lane.ready, next.demand);
      this.order.serve(team, next.demand.tokens);
      next.finish(ok(this.takeSlot(chosen.target, lane.model)));
    }
  }

  /**
   * Returns the model queue that the target serves next, if it has a free slot
   * and requests are waiting that it can run.
   */
  private nextLane(target: string): Lane<Waiting> | undefined {
    let best: Lane<Waiting> | undefined;
    let bestTime = Infinity;
    for (const lane of this.lanes.values()) {
      const view = lane.ready.find(ready => ready.target === target);
      if (lane.length === 0 || view === undefined) continue;
      if (!this.hasRoom(view)) continue;
      const time = this.order.of(this.nextTeam(lane)!);
      if (time >= bestTime) continue;
      best = lane;
      bestTime = time;
    }
    return best;
  }

  private nextTeam(lane: Lane<Waiting>): string | undefined {
    let best: string | undefined;
    for (const team of lane.teams) {
      const isLess =
        best === undefined || this.order.of(team) < this.order.of(best);
      if (isLess) best = team;
    }
    return best;
  }

  private choose(
    ready: readonly TargetView[],
    {avoid}: SlotDemand,
  ): TargetView {
    const loadOf = ({target, slots}: TargetView) =>
      (this.inUse.get(target) ?? 0) / slots;
    const free = ready
      .filter(view => this.hasRoom(view))
      .sort((a, b) => loadOf(a) - loadOf(b));
    return free.find(({target}) => !avoid?.has(target)) ?? free[0];
  }

  private hasRoom({target, slots}: TargetView): boolean {
    return (this.inUse.get(target) ?? 0) < slots;
  }

  private takeSlot(target: string, model: string): Slot {
    const {clock} = this.options;
    const takenMs = clock.now();
    this.inUse.set(target, (this.inUse.get(target) ?? 0) + 1);
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      this.inUse.set(target, this.inUse.get(target)! - 1);
      this.times.observe(model, clock.now() - takenMs);
      this.serveTarget(target);
    };
    return {target, release};
  }

  private wantReplica(lane: Lane<Waiting>): void {
    if (lane.isWanted) return;
    lane.isWanted = true;
    void this.provide(lane);
  }

  private async provide(lane: Lane<Waiting>): Promise<void> {
    const {clock, placement, directory} = this.options;
    const {model, adapter, length: waiting} = lane;
    const untilMs = lane.earliestDeadlineMs();
    const slackMs = untilMs - clock.now();
    const signal = new AbortController().signal;
    const want = {model, adapter, slackMs, waiting};
    const provided = await placement.provide(want, signal);
    lane.ready = directory.ready(model, adapter);
    if (provided.isErr()) this.refuseUnprovided(lane, untilMs, provided.error);
    else if (lane.ready.length === 0) await clock.sleep(WANT_AGAIN_MS);
    lane.isWanted = false;
    this.dropIfEmpty(lane);
    if (lane.length === 0) return;
    if (lane.ready.length === 0) this.wantReplica(lane);
    for (const {target} of lane.ready) this.serveTarget(target);
  }

  /**
   * Refuses waiting requests after no replica could be provided. If that was
   * only because time ran out, the requests with later deadlines keep waiting.
   */
  private refuseUnprovided(
    lane: Lane<Waiting>,
    untilMs: number,
    message: string,
  ): void {
    const nowMs = this.options.clock.now();
    const refusal = refuse(REFUSAL.noCapacity, message, MIN_RETRY_AFTER_MS);
    for (const {deadlineMs, finish} of lane.all()) {
      if (nowMs < untilMs || deadlineMs <= nowMs) finish(err(refusal));
    }
  }
}

function laneKey(model: string, adapter: string | undefined): string {
  return `${model}\n${adapter ?? ''}`;
}
