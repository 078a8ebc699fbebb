/** What a host knows of the replicas in its zone. @packageDocumentation */

import {z} from 'zod';

const residentSchema = z.object({
  model: z.string(),
  version: z.string(),
  state: z.enum(['loading', 'ready', 'draining']),
  adapters: z.array(z.string()),
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
  targets: z.array(targetViewSchema),
});

/** See {@link zoneViewSchema}. */
export type ZoneView = z.output<typeof zoneViewSchema>;

/** The newest view of this host's zone. */
export class ReplicaDirectory {
  private view: ZoneView | undefined;
  private readonly listeners: Array<() => void> = [];

  /** @param view - ignored if it is older than the one at hand. */
  update(view: ZoneView): void {
    const {view: known} = this;
    if (known !== undefined && !isNewer(view, known)) return;
    this.view = view;
    for (const listener of this.listeners) listener();
  }

  /** @param listener - called after each update. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** @returns the targets of the view. */
  targets(): readonly TargetView[] {
    return this.view?.targets ?? [];
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
