/** A host's view of the replicas in its zone. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';

/** Expected duration of an adapter load, in milliseconds. */
const ADAPTER_LOAD_MS = 5;

const residentSchema = z.object({
  model: z.string(),
  version: z.string(),
  state: z.enum(['loading', 'ready', 'draining']),
  adapters: z.array(z.string()),
  /** Expected time from this view until a load ends, in milliseconds. */
  readyInMs: z.number().optional(),
});

/** State of a target as last reported by the zone controller. */
export const targetViewSchema = z.object({
  target: z.string(),
  slots: z.number().int(),
  running: z.number().int(),
  leaving: z.boolean(),
  residents: z.array(residentSchema),
});

/** State of a target, see {@link targetViewSchema}. */
export type TargetView = z.output<typeof targetViewSchema>;

/** State of a zone's targets, or changes to it, from its controller. */
export const zoneViewSchema = z.object({
  zone: z.string(),
  /** Fencing number of the controller's lease. */
  fencing: z.number().int(),
  /** Increases with each view under one lease. */
  sequence: z.number().int(),
  /**
   * Sequence of the previous view; set if this view holds only the changes
   * since then.
   */
  base: z.number().int().optional(),
  /** All targets, or only the changed ones if `base` is set. */
  targets: z.array(targetViewSchema),
  /** Names of removed targets, if `base` is set. */
  removed: z.array(z.string()).optional(),
});

/** State of a zone's targets, see {@link zoneViewSchema}. */
export type ZoneView = z.output<typeof zoneViewSchema>;

/** Holds the latest view of this host's zone. */
export class ReplicaDirectory {
  private view: ZoneView | undefined;
  private updatedMs = 0;
  private readonly listeners: Array<() => void> = [];

  /**
   * Creates an empty directory.
   *
   * @param clock - source of time.
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Applies a view, or ignores it if it is not newer than the current one.
   *
   * @param view - a full view, or changes to an earlier one.
   * @returns false if the view holds changes to another view than the current
   *     one, so that a view was missed.
   */
  update(view: ZoneView): boolean {
    const {view: known} = this;
    if (known !== undefined && !isNewer(view, known)) return true;
    if (view.base === undefined) {
      this.view = view;
    } else {
      if (known?.fencing !== view.fencing) return false;
      if (known.sequence !== view.base) return false;
      this.view = applyChanges(known, view);
    }
    this.updatedMs = this.clock.now();
    for (const listener of this.listeners) listener();
    return true;
  }

  /**
   * Registers a listener.
   *
   * @param listener - called after each update.
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns the targets of the current view. */
  targets(): readonly TargetView[] {
    return this.view?.targets ?? [];
  }

  /** Returns the version of a model that is ready on a target, if any. */
  readyVersion(target: string, model: string): string | undefined {
    const view = this.targets().find(known => known.target === target);
    const served = view?.residents.find(
      resident => resident.model === model && resident.state === 'ready',
    );
    return served?.version;
  }

  /**
   * Estimates when a replica of a model is ready.
   *
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well.
   * @returns the time from now in milliseconds: 0 if a replica is ready,
   *     undefined if none is being loaded.
   */
  expectedReadyInMs(model: string, adapter?: string): number | undefined {
    if (this.readyTargets(model, adapter).length > 0) return 0;
    if (this.readyTargets(model).length > 0) return ADAPTER_LOAD_MS;
    const sinceViewMs = this.clock.now() - this.updatedMs;
    let soonest: number | undefined;
    for (const {leaving, residents} of this.targets()) {
      for (const {model: held, state, readyInMs} of residents) {
        if (leaving || held !== model || state !== 'loading') continue;
        if (readyInMs === undefined) continue;
        const remainingMs = Math.max(0, readyInMs - sinceViewMs);
        soonest = Math.min(soonest ?? Infinity, remainingMs);
      }
    }
    if (soonest === undefined || adapter === undefined) return soonest;
    return soonest + ADAPTER_LOAD_MS;
  }

  /**
   * Returns the targets that can run a request now.
   *
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well.
   */
  readyTargets(model: string, adapter?: string): TargetView[] {
    return this.targets().filter(view => {
      if (view.leaving) return false;
      return view.residents.some(
        resident =>
          resident.model === model &&
          resident.state === 'ready' &&
          (adapter === undefined || resident.adapters.includes(adapter)),
      );
    });
  }
}

function isNewer(a: ZoneView, b: ZoneView): boolean {
  if (a.fencing !== b.fencing) return a.fencing > b.fencing;
  return a.sequence > b.sequence;
}

function applyChanges(known: ZoneView, changes: ZoneView): ZoneView {
  const {zone, fencing, sequence, removed = []} = changes;
  const targets = new Map(known.targets.map(view => [view.target, view]));
  for (const view of changes.targets) targets.set(view.target, view);
  for (const name of removed) targets.delete(name);
  return {zone, fencing, sequence, targets: [...targets.values()]};
}
