/** Requests that wait for the same replica. @packageDocumentation */

import {TargetView} from '../placement/replica_directory.js';
import {DeadlineLine, WithDeadline} from './deadline_line.js';

/** What a {@link Lane} must know of a request. */
export interface LaneItem extends WithDeadline {
  team: string;
}

/** The requests for one model and adapter, by team and deadline. */
export class Lane<Item extends LaneItem> {
  /** Targets that can run them now. */
  ready: readonly TargetView[] = [];
  /** Whether a replica has been asked for. */
  isWanted = false;
  private readonly lines = new Map<string, DeadlineLine<Item>>();
  private count = 0;

  constructor(
    readonly model: string,
    readonly adapter: string | undefined,
  ) {}

  /** Requests that wait. */
  get length(): number {
    return this.count;
  }

  /** Teams that wait. */
  get teams(): IterableIterator<string> {
    return this.lines.keys();
  }

  /** Batch slots of the targets that can run the requests. */
  get slots(): number {
    return this.ready.reduce((sum, {slots}) => sum + slots, 0);
  }

  /** @returns the requests of a team that wait. */
  line(team: string): DeadlineLine<Item> | undefined {
    return this.lines.get(team);
  }

  /** Adds a request. */
  add(item: Item): void {
    let line = this.lines.get(item.team);
    if (line === undefined) {
      line = new DeadlineLine();
      this.lines.set(item.team, line);
    }
    line.add(item);
    this.count += 1;
  }

  /** Removes a request, if it waits. */
  remove(item: Item): void {
    const line = this.lines.get(item.team);
    if (line === undefined) return;
    const before = line.length;
    line.remove(item);
    this.count -= before - line.length;
    if (line.length === 0) this.lines.delete(item.team);
  }

  /** @returns every request that waits. */
  all(): Item[] {
    return [...this.lines.values()].flatMap(line => line.all());
  }

  /** @returns the earliest deadline; Infinity if none waits. */
  earliestDeadlineMs(): number {
    let earliest = Infinity;
    for (const line of this.lines.values()) {
      earliest = Math.min(earliest, line.first()!.deadlineMs);
    }
    return earliest;
  }
}
