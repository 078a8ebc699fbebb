/** Targets that have told a request that they lack its model. @packageDocumentation */

import {ModelDemand} from './caller_request.js';
import type {KnownTarget} from './target_table.js';

/**
 * Number of times that the lease holder may name such a target to a request
 * before it is asked for another one; its next view may be under way.
 */
const MAX_NAMED = 5;

interface Denial {
  /** See {@link KnownTarget.gainsOf}. */
  gains: number;
  namedCount: number;
}

/**
 * Remembers for one request which targets lack its model, until newer
 * information says that they have it.
 */
export class LackingTargets {
  private readonly denials = new Map<KnownTarget, Denial>();

  /** Records that a target has said that it lacks the model. */
  add(target: KnownTarget, demand: ModelDemand): void {
    const gains = target.gainsOf(demand);
    this.denials.set(target, {gains, namedCount: 0});
  }

  /** Whether no target has said so. */
  get isEmpty(): boolean {
    return this.denials.size === 0;
  }

  /** Returns whether a target lacks the model, as far as is known. */
  has(target: KnownTarget, demand: ModelDemand | undefined): boolean {
    const denial = this.denials.get(target);
    if (denial === undefined || demand === undefined) return false;
    return target.gainsOf(demand) === denial.gains;
  }

  /** Records that the lease holder has named such a target nevertheless. */
  recordNamed(target: KnownTarget): void {
    const denial = this.denials.get(target);
    if (denial !== undefined) denial.namedCount += 1;
  }

  /** Adds the ids of the targets that the lease holder must not name again. */
  addExcluded(ids: Set<string>, demand: ModelDemand): void {
    for (const [target, {namedCount}] of this.denials) {
      if (namedCount >= MAX_NAMED && this.has(target, demand))
        ids.add(target.registration.id);
    }
  }
}
