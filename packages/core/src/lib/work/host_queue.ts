/** Requests that wait at this host for room at a target. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';

/** Time between attempts of the first request of a key. */
const RETRY_MS = 25;

/** Time between checks of the others, which are woken once they are first. */
const IDLE_MS = 1_000;

/** A request's rank in the queue. */
export interface WaitRank {
  /** Requests for the same models wait for each other. */
  key: string;
  /** 0 is the most urgent. */
  urgency: number;
  /** Clock time at which the first event is due. */
  objectiveEndMs: number;
}

/** A request's place in the queue. */
export class WaitPlace {
  private readonly pause: WakeableSleep;
  private isIn = false;

  /**
   * @param clock - measures the time between attempts.
   * @param queue - the queue.
   * @param rank - the rank of the request.
   */
  constructor(
    clock: Clock,
    private readonly queue: HostQueue,
    readonly rank: WaitRank,
  ) {
    this.pause = new WakeableSleep(clock);
  }

  /** Whether a request that waits already goes first. */
  get mustYield(): boolean {
    const head = this.queue.headOf(this.rank.key);
    return head !== undefined && head !== this && !isBefore(this, head);
  }

  /**
   * Waits until the request is the first of its key and may try again.
   *
   * @param signal - ends the wait.
   */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.isIn) this.queue.enter(this);
    this.isIn = true;
    do await this.pause.sleep(this.mustYield ? IDLE_MS : RETRY_MS, signal);
    while (this.mustYield && !signal.aborted);
  }

  /** Lets the request try at once. */
  wake(): void {
    this.pause.wake();
  }

  /** Leaves the queue, so that the next request may try. */
  leave(): void {
    if (this.isIn) this.queue.remove(this);
    this.isIn = false;
  }
}

/** Orders the waiting requests by urgency, then by the end of their objective. */
export class HostQueue {
  private readonly byKey = new Map<string, WaitPlace[]>();

  /** @param clock - measures the time between attempts. */
  constructor(private readonly clock: Clock) {}

  /** Returns a place for a request, which is not in the queue yet. */
  place(rank: WaitRank): WaitPlace {
    return new WaitPlace(this.clock, this, rank);
  }

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    for (const places of this.byKey.values()) size += places.length;
    return size;
  }

  /** Returns the first waiting request of a key. */
  headOf(key: string): WaitPlace | undefined {
    return this.byKey.get(key)?.[0];
  }

  /** Adds a request. */
  enter(place: WaitPlace): void {
    const {key} = place.rank;
    const places = this.byKey.get(key);
    if (places === undefined) {
      this.byKey.set(key, [place]);
      return;
    }
    const at = places.findIndex(other => isBefore(place, other));
    places.splice(at < 0 ? places.length : at, 0, place);
  }

  /** Removes a request. */
  remove(place: WaitPlace): void {
    const {key} = place.rank;
    const places = this.byKey.get(key) ?? [];
    const at = places.indexOf(place);
    if (at >= 0) places.splice(at, 1);
    if (places.length === 0) this.byKey.delete(key);
    else places[0].wake();
  }
}

function isBefore({rank: a}: WaitPlace, {rank: b}: WaitPlace): boolean {
  if (a.urgency !== b.urgency) return a.urgency < b.urgency;
  return a.objectiveEndMs < b.objectiveEndMs;
}
