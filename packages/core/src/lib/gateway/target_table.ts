/** Table of the targets that this host knows. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {ModelDemand} from './caller_request.js';
import {BriefNotice, TargetNotice, isSameProcess} from './discovered_target.js';
import {TargetHealth} from './target_health.js';
import {AnswerSigns, ProcessSigns, SignBook} from './target_signs.js';

/**
 * Returns the key of a model, or of an adapter of it.
 *
 * @param model - name of the model.
 * @param adapter - name of the adapter, if any.
 */
export function residentKey(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}

/** Time for which a reported load is valid; reports are repeated more often. */
const LOAD_LIFE_MS = 1_000;

/** A target, with everything that this host knows about it. */
export class KnownTarget {
  /** Number of requests of this host that run or wait at the target. */
  inFlight = 0;
  /** The same by model and by adapter; for the keys see {@link residentKey}. */
  readonly inFlightByModel = new Map<string, number>();
  readonly health: TargetHealth;
  /** Names of the loaded models, each with its loaded adapters. */
  readonly held = new Map<string, Set<string>>();
  /** Whether the target was removed from service discovery. */
  isGone = false;
  private toldLoad = 0;
  private toldMs = -Infinity;

  /**
   * @param notice - the latest registration of the target.
   * @param clock - measures how long failures and load reports are valid.
   * @param signs - the signals of its process.
   */
  constructor(
    public notice: TargetNotice,
    private readonly clock: Clock,
    private readonly signs: ProcessSigns = new ProcessSigns(notice.startedMs),
  ) {
    this.health = new TargetHealth(clock);
    this.adoptHeld(notice);
  }

  /** Whether the target may get new requests, from this host or from others. */
  get isOpen(): boolean {
    return !this.isGone && !this.isLeaving;
  }

  /** Whether the target is leaving, by its registration or by its signals. */
  get isLeaving(): boolean {
    return this.notice.isLeaving || this.signs.isLeaving;
  }

  /** Whether this host may send a request to the target now. */
  get takesRequests(): boolean {
    return this.isOpen && this.quietLeftMs <= 0;
  }

  /**
   * Remaining back-off time of the target for this host; 0 if there is none.
   */
  get quietLeftMs(): number {
    return Math.max(0, this.signs.quietUntilMs - this.clock.now());
  }

  /**
   * Requests of all hosts at the target, as a fraction of its slots: the larger
   * of this host's own requests and the reported load of all hosts.
   */
  get load(): number {
    const own = this.inFlight / Math.max(1, this.notice.slots);
    const isTold = this.clock.now() - this.toldMs < LOAD_LIFE_MS;
    return isTold ? Math.max(own, this.toldLoad) : own;
  }

  /**
   * Stores a reported load.
   *
   * @param load - requests of all hosts, as a fraction of the slots.
   */
  noteLoad(load: number): void {
    this.toldLoad = load;
    this.toldMs = this.clock.now();
  }

  /**
   * Checks whether a model is loaded.
   *
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well, if given.
   * @returns whether it is loaded.
   */
  holds(model: string, adapter?: string): boolean {
    const adapters = this.held.get(model);
    if (adapters === undefined) return false;
    return adapter === undefined || adapters.has(adapter);
  }

  /**
   * Replaces the set of loaded models.
   *
   * @param notice - the registration to take the models from.
   */
  adoptHeld(notice: TargetNotice): void {
    this.held.clear();
    for (const {model, adapters} of notice.held) {
      this.held.set(model, new Set(adapters));
    }
  }

  /** Counts a request as in flight until {@link KnownTarget.ended}. */
  began(demand: ModelDemand | undefined): void {
    this.inFlight += 1;
    if (demand !== undefined) this.countModel(demand, 1);
  }

  /** Stops counting a request counted by {@link KnownTarget.began}. */
  ended(demand: ModelDemand | undefined): void {
    this.inFlight -= 1;
    if (demand !== undefined) this.countModel(demand, -1);
  }

  private countModel({model, adapter}: ModelDemand, change: number): void {
    this.addModel(model, change);
    if (adapter !== undefined) {
      this.addModel(residentKey(model, adapter), change);
    }
  }

  private addModel(model: string, change: number): void {
    const count = (this.inFlightByModel.get(model) ?? 0) + change;
    if (count > 0) this.inFlightByModel.set(model, count);
    else this.inFlightByModel.delete(model);
  }
}

/** Models assumed for a process that is known only from other hosts. */
const NOTHING_HELD = {orderCount: 0, held: [], inMemory: [], onDisk: []};

/** A target that was added, changed or removed. */
export interface TargetChange {
  id: string;
  /** Undefined if the target was removed. */
  notice: TargetNotice | undefined;
}

/** Index of targets by id and by service. */
export class TargetTable {
  private readonly byId = new Map<string, KnownTarget>();
  private readonly changes = new Map<string, number>();
  private changeCount = 0;
  private readonly byService = new Map<string, KnownTarget[]>();
  private readonly signs: SignBook;
  private readonly leavingListeners: Array<(target: KnownTarget) => void> = [];

  /** @param clock - measures the validity of the data about each target. */
  constructor(private readonly clock: Clock) {
    this.signs = new SignBook(clock);
  }

  /** @param listener - called once for each process that is leaving. */
  onLeaving(listener: (target: KnownTarget) => void): void {
    this.leavingListeners.push(listener);
  }

  /**
   * Records the signals of an answer. They apply until another process has the
   * target's id.
   *
   * @param target - the target that answered.
   * @param signs - its signals.
   */
  noteSigns({notice}: KnownTarget, signs: AnswerSigns): void {
    const known = this.signs.of(notice.id, notice.startedMs);
    if (signs.quietMs !== undefined) {
      this.signs.noteQuiet(known, signs.quietMs);
    }
    if (signs.isLeaving) this.noteLeaving(notice.id, notice.startedMs);
  }

  /**
   * Marks a process of a target as leaving. This is final.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   */
  noteLeaving(id: string, startedMs: number): void {
    if (this.signs.isOlder(id, startedMs)) return;
    const signs = this.signs.of(id, startedMs);
    if (signs.isLeaving) return;
    signs.isLeaving = true;
    const target = this.byId.get(id);
    if (target?.notice.startedMs !== startedMs) return;
    this.noteChange(id);
    for (const listener of this.leavingListeners) listener(target);
  }

  /**
   * Returns a registered target.
   *
   * @param id - id of the target.
   */
  get(id: string): KnownTarget | undefined {
    return this.byId.get(id);
  }

  /**
   * Returns the targets of a service, including leaving ones.
   *
   * @param service - name of the service.
   */
  ofService(service: string): readonly KnownTarget[] {
    return this.byService.get(service) ?? [];
  }

  /** Revision; increases with each change that other hosts have to know. */
  get revision(): number {
    return this.changeCount;
  }

  /**
   * Returns the targets that have changed since a revision.
   *
   * @param revision - an earlier revision of this table.
   * @returns the changes, in no particular order.
   */
  changedSince(revision: number): TargetChange[] {
    const changed: TargetChange[] = [];
    for (const [id, changedAt] of this.changes) {
      if (changedAt <= revision) continue;
      const target = this.byId.get(id);
      const notice = target && {
        ...target.notice,
        isLeaving: target.isLeaving,
      };
      changed.push({id, notice});
    }
    return changed;
  }

  /** Returns all targets. */
  all(): IterableIterator<KnownTarget> {
    return this.byId.values();
  }

  /**
   * Adds or updates a target.
   *
   * @param notice - the registration of the target.
   * @param adoptHeld - whether to apply the models of the registration; false
   *     while newer data about them is available from elsewhere. The models of
   *     a new process are always applied.
   * @returns the target; a new object for a new process. The registration of an
   *     older process than the known one changes nothing, and the returned
   *     target is marked as removed.
   */
  put(notice: TargetNotice, adoptHeld: boolean): KnownTarget {
    const known = this.byId.get(notice.id);
    if (this.signs.isOlder(notice.id, notice.startedMs)) {
      const outdated = new KnownTarget(notice, this.clock);
      outdated.isGone = true;
      return outdated;
    }
    const signs = this.signs.of(notice.id, notice.startedMs);
    if (notice.isLeaving) signs.isLeaving = true;
    if (known !== undefined && isSameProcess(known.notice, notice)) {
      const moved = known.notice.service !== notice.service;
      if (isNews(known.notice, notice)) this.noteChange(notice.id);
      known.notice = notice;
      if (adoptHeld) known.adoptHeld(notice);
      if (moved) this.reindex();
      return known;
    }
    if (known !== undefined) known.isGone = true;
    const target = new KnownTarget(notice, this.clock, signs);
    this.byId.set(notice.id, target);
    this.noteChange(notice.id);
    this.reindex();
    return target;
  }

  /**
   * Adds or updates a target that another host knows.
   *
   * @param brief - the registration without models; known models are kept.
   */
  putBrief(brief: BriefNotice): void {
    const known = this.byId.get(brief.id);
    const isKnown = known !== undefined && isSameProcess(known.notice, brief);
    const rest = isKnown ? known.notice : NOTHING_HELD;
    this.put({...rest, ...brief}, false);
  }

  /**
   * Removes a target whose registration has ended.
   *
   * @param id - id of the target.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (known === undefined) return;
    known.isGone = true;
    this.byId.delete(id);
    this.noteChange(id);
    this.reindex();
  }

  private noteChange(id: string): void {
    this.changeCount += 1;
    this.changes.set(id, this.changeCount);
  }

  private reindex(): void {
    this.byService.clear();
    for (const target of this.byId.values()) {
      const {service} = target.notice;
      const others = this.byService.get(service);
      if (others === undefined) this.byService.set(service, [target]);
      else others.push(target);
    }
  }
}

/** Returns whether other hosts have to know a newer registration. */
function isNews(known: TargetNotice, notice: TargetNotice): boolean {
  return (
    known.isLeaving !== notice.isLeaving ||
    known.address !== notice.address ||
    known.service !== notice.service
  );
}
