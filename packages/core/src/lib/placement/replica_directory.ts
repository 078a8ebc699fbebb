/** What a host knows of the replicas in its zone. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';

/** Allowance for an adapter that is not loaded yet, in milliseconds. */
const ADAPTER_LOAD_MS = 5;

const residentSchema = z.object({
  model: z.string(),
  version: z.string(),
  state: z.enum(['loading', 'ready', 'draining']),
  adapters: z.array(z.string()),
  /** When a load is expected to end, in milliseconds from the view. */
  readyInMs: z.number().optional(),
});

/** A target as the zone controller last saw it. */
export const targetViewSchema = z.object({
  target: z.string(),
  slots: z.number().int(),
  running: z.number().int(),
  leaving: z.boolean(),
  residents: z.array(residentSchema),
});

/** See {@link targetViewSchema}. */
export type TargetView = z.output<typeof targetViewSchema>;

/** All targets of a zone as its controller last saw them. */
export const zoneViewSchema = z.object({
  zone: z.string(),
  /** Fencing number of the controller's lease. */
  fencing: z.number().int(),
  /** Counts up under one lease. */
  sequence: z.number().int(),
  /** Set if only changes since the view of that sequence are told. */
  base: z.number().int().optional(),
  /** All targets, or those that changed. */
  targets: z.array(targetViewSchema),
  /** Names of targets that went, if only changes are told. */
  removed: z.array(z.string()).optional(),
});

/** See {@link zoneViewSchema}. */
export type ZoneView = z.output<typeof zoneViewSchema>;

/** The newest view of this host's zone. */
export class ReplicaDirectory {
  private view: ZoneView | undefined;
  private updatedMs = 0;
  private readonly listeners: Array<() => void> = [];

  /** @param clock - source of time. */
  constructor(private readonly clock: Clock) {}

  /**
   * @param view - ignored if it is older than the one at hand.
   * @returns false if changes were told to a view that is not at hand.
   */
  update(view: ZoneView): boolean {
    const {view: known} = this;
    if (known !== undefined && !isNewer(view, known)) return true;
    if (view.base === undefined) {
      this.view = view;
    } else {
      if (known?.fencing !== view.fencing) return false;
      if (known.sequence !== view.base) return false;
      this.view = merge(known, view);
    }
    this.updatedMs = this.clock.now();
    for (const listener of this.listeners) listener();
    return true;
  }

  /** @param listener - called after each update. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** @returns the targets of the view. */
  targets(): readonly TargetView[] {
    return this.view?.targets ?? [];
  }

  /** @returns the version of a model that a target serves now. */
  versionOn(target: string, model: string): string | undefined {
    const view = this.targets().find(known => known.target === target);
    const served = view?.residents.find(
      resident => resident.model === model && resident.state === 'ready',
    );
    return served?.version;
  }

  /**
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well.
   * @returns when a replica is expected to be ready, in milliseconds from
   *     now; 0 if one is, undefined if no load is under way.
   */
  expectedReadyInMs(model: string, adapter?: string): number | undefined {
    if (this.ready(model, adapter).length > 0) return 0;
    if (this.ready(model).length > 0) return ADAPTER_LOAD_MS;
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
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well.
   * @returns targets that can run a request now.
   */
  ready(model: string, adapter?: string): TargetView[] {
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

function merge(known: ZoneView, changes: ZoneView): ZoneView {
  const {zone, fencing, sequence, removed = []} = changes;
  const targets = new Map(known.targets.map(view => [view.target, view]));
  for (const view of changes.targets) targets.set(view.target, view);
  for (const name of removed) targets.delete(name);
  return {zone, fencing, sequence, targets: [...targets.values()]};
}
