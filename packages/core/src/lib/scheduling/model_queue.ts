/** Queue of the requests that wait for the same model. @packageDocumentation */

import {TargetView} from '../placement/replica_directory.js';
import {DeadlineQueue, DeadlineItem} from './deadline_queue.js';

/** A request in a {@link ModelQueue}. */
export interface ModelQueueItem extends DeadlineItem {
  team: string;
}

/** The waiting requests for one model and adapter, by team and deadline. */
export class ModelQueue<Item extends ModelQueueItem> {
  /** Targets that can run the requests now. */
  ready: readonly TargetView[] = [];
  /** Whether a request for a replica is outstanding. */
  isReplicaRequested = false;
  private readonly queuesByTeam = new Map<string, DeadlineQueue<Item>>();
  private count = 0;

  constructor(
    readonly model: string,
    readonly adapter: string | undefined,
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.count;
  }

  /** Names of the teams that have waiting requests. */
  get teams(): IterableIterator<string> {
    return this.queuesByTeam.keys();
  }

  /** Total batch slots of the targets that can run the requests. */
  get slots(): number {
    return this.ready.reduce((sum, {slots}) => sum + slots, 0);
  }

  /** Returns the waiting requests of a team, if there are any. */
  teamQueue(team: string): DeadlineQueue<Item> | undefined {
    return this.queuesByTeam.get(team);
  }

  add(item: Item): void {
    let teamQueue = this.queuesByTeam.get(item.team);
    if (teamQueue === undefined) {
      teamQueue = new DeadlineQueue();
      this.queuesByTeam.set(item.team, teamQueue);
    }
    teamQueue.add(item);
    this.count += 1;
  }

  /** Removes a request, if it is waiting. */
  remove(item: Item): void {
    const teamQueue = this.queuesByTeam.get(item.team);
    if (teamQueue === undefined) return;
    const before = teamQueue.length;
    teamQueue.remove(item);
    this.count -= before - teamQueue.length;
    if (teamQueue.length === 0) this.queuesByTeam.delete(item.team);
  }

  /** Returns all waiting requests. */
  all(): Item[] {
    return [...this.queuesByTeam.values()].flatMap(teamQueue =>
      teamQueue.all(),
    );
  }

  /** Returns the earliest deadline; Infinity if no request is waiting. */
  earliestDeadlineMs(): number {
    let earliest = Infinity;
    for (const teamQueue of this.queuesByTeam.values()) {
      earliest = Math.min(earliest, teamQueue.first()!.deadlineMs);
    }
    return earliest;
  }
}
