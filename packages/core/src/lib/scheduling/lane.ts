/** Queue of the requests that wait for the same model. @packageDocumentation */

import {TargetView} from '../placement/replica_directory.js';
import {DeadlineLine, WithDeadline} from './deadline_line.js';

/** A request in a {@link Lane}. */
export interface LaneItem extends WithDeadline {
  team: string;
}

/** The waiting requests for one model and adapter, by team and deadline. */
export class Lane<Item extends LaneItem> {
  /** Targets that can run the requests now. */
  ready: readonly TargetView[] = [];
  /** Whether a request for a replica is outstanding. */
  isWanted = false;
  private readonly lines = new Map<string, DeadlineLine<Item>>();
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
    return this.lines.keys();
  }

  /** Total batch slots of the targets that can run the requests. */
  get slots(): number {
    return this.ready.reduce((sum, {slots}) => sum + slots, 0);
  }

  /** Returns the waiting requests of a team, if there are any. */
  line(team: string): DeadlineLine<Item> | undefined {
    return this.lines.get(team);
  }

  add(item: Item): void {
    let line = this.lines.get(item.team);
    if (line === undefined) {
      line = new DeadlineLine();
      this.lines.set(item.team, line);
    }
    line.add(item);
    this.count += 1;
  }

  /** Removes a request, if it is waiting. */
  remove(item: Item): void {
    const line = this.lines.get(item.team);
    if (line === undefined) return;
    const before = line.length;
    line.remove(item);
    this.count -= before - line.length;
    if (line.length === 0) this.lines.delete(item.team);
  }

  /** Returns all waiting requests. */
  all(): Item[] {
    return [...this.lines.values()].flatMap(line => line.all());
  }

  /** Returns the earliest deadline; Infinity if no request is waiting. */
  earliestDeadlineMs(): number {
    let earliest = Infinity;
    for (const line of this.lines.values()) {
      earliest = Math.min(earliest, line.first()!.deadlineMs);
    }
    return earliest;
  }
}
