/** Where requests wait for a replica with a free batch slot. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {PlacementClient} from '../placement/placement_client.js';
import {ReplicaDirectory, TargetView} from '../placement/replica_directory.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock, Timer} from '../time/clock.js';

/** What a request waits for. */
export interface SlotDemand {
  requestId: string;
  team: string;
  model: string;
  adapter: string | undefined;
  /** Prompt tokens and the most that may be generated. */
  tokens: number;
  /** Clock time by which the request must have ended, in milliseconds. */
  deadlineMs: number;
  /** Targets that were tried in vain; others are preferred. */
  avoid?: ReadonlySet<string>;
}

/** A batch slot of a target, held for one request. */
export interface Slot {
  target: string;
  /** Gives the slot back; later calls do nothing. */
  release(): void;
}

interface Waiting {
  demand: SlotDemand;
  finish: (result: Result<Slot, Refusal>) => void;
}

/** What a {@link RequestQueue} works with. */
export interface RequestQueueOptions {
  clock: Clock;
  directory: ReplicaDirectory;
  placement: PlacementClient;
}

/** The requests that wait at this host. */
export class RequestQueue {
  private readonly waiting = new Set<Waiting>();
  private readonly inUse = new Map<string, number>();
  private readonly wanted = new Set<string>();

  constructor(private readonly options: RequestQueueOptions) {
    options.directory.onChange(() => this.dispatch());
  }

  /** Requests that wait now. */
  get length(): number {
    return this.waiting.size;
  }

  /**
   * Waits for a slot.
   *
   * @param demand - see {@link SlotDemand}.
   * @param signal - gives up waiting.
   * @returns the slot, or a refusal at the deadline at the latest.
   */
  acquire(
    demand: SlotDemand,
    signal: AbortSignal,
  ): Promise<Result<Slot, Refusal>> {
    return new Promise(resolve => {
      const waiting: Waiting = {
        demand,
        finish: result => {
          if (!this.waiting.delete(waiting)) return;
          timer.cancel();
          signal.removeEventListener('abort', giveUp);
          resolve(result);
        },
      };
      const refuseWith = (message: string) =>
        waiting.finish(err(refuse(REFUSAL.deadline, message)));
      const giveUp = () => refuseWith('the wait was given up');
      const timer: Timer = this.options.clock.after(
        demand.deadlineMs - this.options.clock.now(),
        () => refuseWith('no slot was free before the deadline'),
      );
      this.waiting.add(waiting);
      signal.addEventListener('abort', giveUp);
      if (signal.aborted) giveUp();
      this.dispatch();
    });
  }

  private dispatch(): void {
    for (const waiting of [...this.waiting]) {
      const {model, adapter} = waiting.demand;
      const ready = this.options.directory.ready(model, adapter);
      if (ready.length === 0) this.wantReplica(waiting.demand);
      const free = ready.filter(view => this.hasRoom(view));
      const {avoid} = waiting.demand;
      const fresh = free.find(({target}) => !avoid?.has(target));
      const target = (fresh ?? free[0])?.target;
      if (target !== undefined) waiting.finish(ok(this.takeSlot(target)));
    }
  }

  private hasRoom({target, slots}: TargetView): boolean {
    return (this.inUse.get(target) ?? 0) < slots;
  }

  private takeSlot(target: string): Slot {
    this.inUse.set(target, (this.inUse.get(target) ?? 0) + 1);
    let held = true;
    const release = () => {
      if (!held) return;
      held = false;
      this.inUse.set(target, this.inUse.get(target)! - 1);
      this.dispatch();
    };
    return {target, release};
  }

  private wantReplica({model, adapter, deadlineMs}: SlotDemand): void {
    const key = `${model}\n${adapter ?? ''}`;
    if (this.wanted.has(key)) return;
    this.wanted.add(key);
    void this.provide(key, model, adapter, deadlineMs);
  }

  private async provide(
    key: string,
    model: string,
    adapter: string | undefined,
    deadlineMs: number,
  ): Promise<void> {
    const {clock, placement} = this.options;
    const slackMs = deadlineMs - clock.now();
    const waiting = [...this.waiting].filter(
      ({demand}) => demand.model === model && demand.adapter === adapter,
    );
    const want = {model, adapter, slackMs, waiting: waiting.length};
    const signal = new AbortController().signal;
    const provided = await placement.provide(want, signal);
    this.wanted.delete(key);
    if (provided.isErr()) this.refuseAll(model, adapter, provided.error);
    this.dispatch();
  }

  private refuseAll(
    model: string,
    adapter: string | undefined,
    message: string,
  ): void {
    for (const {demand, finish} of [...this.waiting]) {
      if (demand.model !== model || demand.adapter !== adapter) continue;
      finish(err(refuse(REFUSAL.noCapacity, message)));
    }
  }
}
