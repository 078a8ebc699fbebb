/** Models that wait for a load. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Time after which a load that is no longer asked for does not hold up others. */
const ACTIVE_MS = 400;

/** Time for which other loads pass one that no target can take. */
const UNPLACED_MS = 500;

/**
 * Time for which the age of a load is kept while nobody asks for it: callers of
 * rare models come some tens of seconds apart.
 */
const AGE_LIFETIME_MS = 60_000;

/**
 * Growth of a load's priority, in requests per second for each second that it
 * has waited. After 25 s, the longest time that callers wait, a single caller
 * counts as much as five requests per second.
 */
const PRIORITY_PER_SECOND = 0.2;

const MS_PER_SECOND = 1_000;

interface LoadRequest {
  sinceMs: number;
  askedMs: number;
  unplacedUntilMs: number;
}

/** Records since when models wait for a load. */
export class LoadRequests {
  private readonly requests = new Map<string, LoadRequest>();

  /** @param clock - measures the ages. */
  constructor(private readonly clock: Clock) {}

  /** Records that a load of a model is asked for now. */
  ask(model: string): void {
    const nowMs = this.clock.now();
    const request = this.requests.get(model);
    if (request !== undefined) request.askedMs = nowMs;
    else {
      const unplacedUntilMs = -Infinity;
      this.requests.set(model, {
        sinceMs: nowMs,
        askedMs: nowMs,
        unplacedUntilMs,
      });
    }
  }

  /** Records that no target can load a model now. */
  recordUnplaced(model: string): void {
    const request = this.requests.get(model);
    if (request !== undefined)
      request.unplacedUntilMs = this.clock.now() + UNPLACED_MS;
  }

  /** Records that a load of a model has started. */
  recordStart(model: string): void {
    this.requests.delete(model);
  }

  /** Returns the part of a load's priority that grows with its age. */
  agePriority(model: string): number {
    const request = this.requests.get(model);
    if (request === undefined) return 0;
    const ageMs = this.clock.now() - request.sinceMs;
    return (ageMs / MS_PER_SECOND) * PRIORITY_PER_SECOND;
  }

  /** Returns the models that a target could load and whose loads are asked for. */
  active(): string[] {
    const nowMs = this.clock.now();
    const models: string[] = [];
    for (const [model, {askedMs, unplacedUntilMs}] of this.requests) {
      const isActive = nowMs - askedMs < ACTIVE_MS;
      if (isActive && unplacedUntilMs <= nowMs) models.push(model);
    }
    return models;
  }

  /** Removes models that nobody has asked for in a long time. */
  prune(): void {
    const sinceMs = this.clock.now() - AGE_LIFETIME_MS;
    for (const [model, {askedMs}] of this.requests)
      if (askedMs < sinceMs) this.requests.delete(model);
  }
}
