/** The targets that this host knows. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {ModelDemand} from './caller_request.js';
import {BriefNotice, TargetNotice, isSameProcess} from './discovered_target.js';
import {TargetHealth} from './target_health.js';
import {AnswerSigns, ProcessSigns, SignBook} from './target_signs.js';

/** A model or an adapter of it, as a key. */
export function residentKey(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}

/** How long a load that was told counts: tellers repeat it before that. */
const LOAD_LIFE_MS = 1_000;

/** A target with what this host knows of it. */
export class KnownTarget {
  /** Requests of this host that run or wait there. */
  inFlight = 0;
  /** The same by model, and once more by adapter; see {@link residentKey}. */
  readonly inFlightByModel = new Map<string, number>();
  readonly health: TargetHealth;
  /** Models it holds, each with its adapters. */
  readonly held = new Map<string, Set<string>>();
  /** Whether it has left the platform's list. */
  isGone = false;
  private toldLoad = 0;
  private toldMs = -Infinity;

  /**
   * @param notice - what it said last.
   * @param clock - measures how long failures are remembered.
   * @param signs - what its process has said in its answers.
   */
  constructor(
    public notice: TargetNotice,
    private readonly clock: Clock,
    private readonly signs: ProcessSigns = new ProcessSigns(notice.startedMs),
  ) {
    this.health = new TargetHealth(clock);
    this.adoptHeld(notice);
  }

  /** Whether it may get new work, from this host or from others. */
  get isOpen(): boolean {
    return !this.isGone && !this.isLeaving;
  }

  /** Whether it leaves, by its notice or by its own answers. */
  get isLeaving(): boolean {
    return this.notice.isLeaving || this.signs.isLeaving;
  }

  /** Whether this host may send it something now; ask right before. */
  get takesRequests(): boolean {
    return this.isOpen && this.quietLeftMs <= 0;
  }

  /** Time for which it wants nothing from this host; 0 if it named none. */
  get quietLeftMs(): number {
    return Math.max(0, this.signs.quietUntilMs - this.clock.now());
  }

  /**
   * Requests of all hosts there, as a share of its slots: at least this host's
   * own, and what was told of all.
   */
  get load(): number {
    const own = this.inFlight / Math.max(1, this.notice.slots);
    const isTold = this.clock.now() - this.toldMs < LOAD_LIFE_MS;
    return isTold ? Math.max(own, this.toldLoad) : own;
  }

  /** @param load - what all hosts together have in flight, likewise. */
  noteLoad(load: number): void {
    this.toldLoad = load;
    this.toldMs = this.clock.now();
  }

  /** @returns whether it holds a model and, if given, one of its adapters. */
  holds(model: string, adapter?: string): boolean {
    const adapters = this.held.get(model);
    if (adapters === undefined) return false;
    return adapter === undefined || adapters.has(adapter);
  }

  /** @param notice - replaces what is known of its models. */
  adoptHeld(notice: TargetNotice): void {
    this.held.clear();
    for (const {model, adapters} of notice.held) {
      this.held.set(model, new Set(adapters));
    }
  }

  /** Counts a request until {@link KnownTarget.ended}. */
  began(demand: ModelDemand | undefined): void {
    this.inFlight += 1;
    if (demand !== undefined) this.countModel(demand, 1);
  }

  /** Ends what {@link KnownTarget.began} counted. */
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

/** What is assumed of a process that others have told of. */
const NOTHING_HELD = {orderCount: 0, held: [], inMemory: [], onDisk: []};

/** A target that came, changed or went. */
export interface TargetChange {
  id: string;
  /** Undefined if it is gone. */
  notice: TargetNotice | undefined;
}

/** Targets by id and by service. */
export class TargetTable {
  private readonly byId = new Map<string, KnownTarget>();
  private readonly changes = new Map<string, number>();
  private changeCount = 0;
  private readonly byService = new Map<string, KnownTarget[]>();
  private readonly signs: SignBook;
  private readonly leavingListeners: Array<(target: KnownTarget) => void> = [];

  /** @param clock - passed on to what is known of each target. */
  constructor(private readonly clock: Clock) {
    this.signs = new SignBook(clock);
  }

  /** @param listener - called once for each process that says it leaves. */
  onLeaving(listener: (target: KnownTarget) => void): void {
    this.leavingListeners.push(listener);
  }

  /**
   * Takes in what a target's own answer said of it. It binds this host until
   * another process has the target's id.
   *
   * @param target - who answered.
   * @param signs - what it said.
   */
  noteSigns({notice}: KnownTarget, signs: AnswerSigns): void {
    const known = this.signs.of(notice.id, notice.startedMs);
    if (signs.quietMs !== undefined) {
      this.signs.noteQuiet(known, signs.quietMs);
    }
    if (signs.isLeaving) this.noteLeaving(notice.id, notice.startedMs);
  }

  /**
   * Notes that a process of a target leaves; nothing takes that back.
   *
   * @param id - of the target.
   * @param startedMs - of the process, Unix milliseconds.
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

  /** @returns a target that is on the platform's list. */
  get(id: string): KnownTarget | undefined {
    return this.byId.get(id);
  }

  /** @returns the targets of a service, leaving ones included. */
  ofService(service: string): readonly KnownTarget[] {
    return this.byService.get(service) ?? [];
  }

  /** Rises with each change that other hosts have to know. */
  get revision(): number {
    return this.changeCount;
  }

  /**
   * @param revision - of an earlier look at this table.
   * @returns what has changed since: a notice, or nothing for a target that
   *     is gone.
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

  /** @returns every target. */
  all(): IterableIterator<KnownTarget> {
    return this.byId.values();
  }

  /**
   * Takes in what a target announced.
   *
   * @param notice - what it says about itself.
   * @param adoptHeld - whether its models are to be believed; false while a
   *     newer view of them comes from elsewhere. A new process always is.
   * @returns the target; a new object for a new process. A process that is
   *     older than one that was known changes nothing, and comes back as gone.
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
   * Takes in what another host knows of a target.
   *
   * @param brief - what it knows; the models stay as they are known here.
   */
  putBrief(brief: BriefNotice): void {
    const known = this.byId.get(brief.id);
    const isKnown = known !== undefined && isSameProcess(known.notice, brief);
    const rest = isKnown ? known.notice : NOTHING_HELD;
    this.put({...rest, ...brief}, false);
  }

  /** Takes out a target that has left the list. */
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

/** @returns whether other hosts have to know of a newer notice. */
function isNews(known: TargetNotice, notice: TargetNotice): boolean {
  return (
    known.isLeaving !== notice.isLeaving ||
    known.address !== notice.address ||
    known.service !== notice.service
  );
}
