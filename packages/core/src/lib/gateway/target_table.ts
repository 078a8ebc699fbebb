/** Table of the targets that this host knows. @packageDocumentation */

import {ZoneEvacuations} from '../evacuation/zone_evacuations.js';
import {Clock} from '../time/clock.js';
import {
  ColdReport,
  ColdSource,
  NeverCold,
  OWN_WORDS,
  TargetWarming,
} from '../warming/target_warming.js';
import {ModelDemand} from './caller_request.js';
import {
  RegistrationSummary,
  TargetRegistration,
  isSameProcess,
} from './target_registration.js';
import {TargetWork} from '../work/target_work.js';
import {HolderIndex} from './holder_index.js';
import {ListingPeriod} from './listing_period.js';
import {ModelGains} from './model_gains.js';
import {residentKey} from './resident_key.js';
import {TargetHealth} from './target_health.js';
import {
  AnswerSignals,
  NamedLimit,
  ProcessSignals,
  SignalTable,
} from './target_signals.js';

export {residentKey} from './resident_key.js';

/**
 * Returns whether a target runs a software version.
 *
 * @param target - the target.
 * @param softwareVersion - the version; undefined if any will do.
 */
export function runsVersion(
  target: KnownTarget,
  softwareVersion: string | undefined,
): boolean {
  if (softwareVersion === undefined) return true;
  return target.softwareVersion === softwareVersion;
}

/** Time for which a reported load is valid; reports are repeated more often. */
const LOAD_LIFETIME_MS = 1_000;

/** Duration of a request that is assumed before any was observed. */
const INITIAL_RUN_MS = 1_000;

/** Weight of a new observation in the average duration. */
const RUN_WEIGHT = 0.1;

/** Lower bound of the effective slots, which divide the load. */
const MIN_EFFECTIVE_SLOTS = 0.25;

const MS_PER_SECOND = 1_000;

/** Age of a report whose time is not known. */
const MAX_REPORT_AGE_MS = 86_400_000;

/** What a {@link KnownTarget} asks or tells about itself. */
export interface TargetContext {
  /** The evacuated zones; none by default. */
  evacuations?: ZoneEvacuations;
  /** Knows which targets are cold; by default none is. */
  warming?: TargetWarming;
  /** Called when the loaded models may have changed. */
  onHeldChange?: () => void;
  /**
   * Returns whether its registration shows that the process runs, although it
   * was seen to have ended at a clock time; by default it never does.
   */
  outlastsEnd?: (endedMs: number) => boolean;
}

/** A target, with everything that this host knows about it. */
export class KnownTarget {
  /** Number of requests of this host that run or wait at the target. */
  inFlight = 0;
  /** The same by model and by adapter; for the keys see {@link residentKey}. */
  readonly inFlightByModel = new Map<string, number>();
  readonly health: TargetHealth;
  /** Work at this process; a new process starts without any. */
  readonly work: TargetWork;
  private readonly heldModels = new Map<string, Set<string>>();
  /** Whether the target was removed from service discovery. */
  isRemoved = false;
  private readonly gains = new ModelGains();
  private readonly evacuations: ZoneEvacuations | undefined;
  private readonly warming: TargetWarming;
  private readonly onHeldChange: () => void;
  private readonly outlastsEnd: (endedMs: number) => boolean;
  private heardMs = -Infinity;
  private throttledUntilMs = -Infinity;
  private averageRunMs = INITIAL_RUN_MS;
  private reportedLoad = 0;
  private reportedMs = -Infinity;

  /**
   * @param registration - the latest registration of the target.
   * @param clock - measures how long failures and load reports are valid.
   * @param signals - the signals of its process.
   * @param context - see {@link TargetContext}.
   */
  constructor(
    public registration: TargetRegistration,
    private readonly clock: Clock,
    private readonly signals: ProcessSignals = new ProcessSignals(
      registration.startedMs,
    ),
    context: TargetContext = {},
  ) {
    this.evacuations = context.evacuations;
    this.warming = context.warming ?? new NeverCold();
    this.onHeldChange = context.onHeldChange ?? (() => {});
    this.outlastsEnd = context.outlastsEnd ?? (() => false);
    this.health = new TargetHealth(clock);
    this.work = new TargetWork(clock);
    this.setHeldModels(registration);
  }

  /** Records that the target has sent something to this host. */
  recordHeard(): void {
    this.heardMs = this.clock.now();
  }

  /** Whether the target has ever sent anything to this host. */
  get hasBeenHeard(): boolean {
    return this.heardMs !== -Infinity;
  }

  /** Time since the target has sent anything to this host, in milliseconds. */
  get silentMs(): number {
    return this.clock.now() - this.heardMs;
  }

  /** Whether the target may get new requests, from this host or from others. */
  get isOpen(): boolean {
    return !this.isRemoved && !this.isLeaving && !this.isEvacuated;
  }

  /**
   * Whether the target is in an evacuated zone: nothing may be sent to it, but
   * the requests that it runs go on.
   */
  get isEvacuated(): boolean {
    return this.evacuations?.isEvacuated(this.registration.zone) ?? false;
  }

  /** Whether the target is leaving, by its registration or by its signals. */
  get isLeaving(): boolean {
    return this.registration.isLeaving || this.signals.isLeaving;
  }

  /**
   * Version of the software that the target runs; undefined if it is not known.
   * After the registered process has ended, another one may have its id and its
   * address, and run another version, before it is registered.
   */
  get softwareVersion(): string | undefined {
    if (this.hasEnded) return undefined;
    return this.registration.softwareVersion;
  }

  /** Whether the registered process was seen to have ended. */
  get hasEnded(): boolean {
    const {endedMs} = this.signals;
    return endedMs !== -Infinity && !this.outlastsEnd(endedMs);
  }

  /** Whether this host may send a request to the target now. */
  get takesRequests(): boolean {
    return this.isOpen && this.backOffLeftMs <= 0;
  }

  /** What the target last said about its limit, to this host or another. */
  get limit(): NamedLimit {
    return this.signals.limit;
  }

  /** Time since the target named another limit, in milliseconds. */
  get limitAgeMs(): number {
    return this.clock.now() - this.signals.limitChangedMs;
  }

  /** Whether the target has ever named a limit. */
  get hasNamedLimit(): boolean {
    return this.signals.hasNamedLimit;
  }

  /**
   * Requests per second that the target takes from all hosts together;
   * undefined if it names no limit and is not cold.
   */
  get requestsPerSecond(): number | undefined {
    const {perSecond} = this.signals.limit;
    const coldPerSecond = this.warming.perSecond(this.registration);
    if (perSecond === undefined || coldPerSecond === undefined)
      return perSecond ?? coldPerSecond;
    return Math.min(perSecond, coldPerSecond);
  }

  /** Time for which the target stays cold, in milliseconds; 0 if it is warm. */
  get coldLeftMs(): number {
    return this.warming.leftMs(this.registration);
  }

  /** What this host knows about that; undefined if it is never cold. */
  get coldReport(): ColdReport | undefined {
    const state = this.warming.stateOf(this.registration);
    if (state === undefined) return undefined;
    const nowMs = this.clock.now();
    const leftMs = Math.max(0, state.untilMs - nowMs);
    const ageMs = Math.min(MAX_REPORT_AGE_MS, nowMs - state.asOfMs);
    return {leftMs, ageMs};
  }

  /**
   * The same for a summary of its registration. What is not the target's own
   * word is marked as old, so that it shortens no cold time on other hosts.
   */
  get coldSummary(): ColdReport | undefined {
    const report = this.coldReport;
    const state = this.warming.stateOf(this.registration);
    if (report === undefined || state === undefined) return undefined;
    const isOwnWord = OWN_WORDS.has(state.source);
    return isOwnWord ? report : {...report, ageMs: MAX_REPORT_AGE_MS};
  }

  /** Time until a request may be sent within the target's limit; 0 if now. */
  get throttledLeftMs(): number {
    if (this.requestsPerSecond === undefined) return 0;
    return Math.max(0, this.throttledUntilMs - this.clock.now());
  }

  /** Records that no request may be sent within the limit for a time. */
  throttle(forMs: number): void {
    this.throttledUntilMs = this.clock.now() + forMs;
  }

  /**
   * Requests that the target can run at once: its slots, or fewer if its limit
   * does not fill them.
   */
  get effectiveSlots(): number {
    const slots = Math.max(1, this.registration.slots);
    const {requestsPerSecond} = this;
    if (requestsPerSecond === undefined) return slots;
    const running = (requestsPerSecond * this.averageRunMs) / MS_PER_SECOND;
    return Math.min(slots, Math.max(MIN_EFFECTIVE_SLOTS, running));
  }

  /** Records how long a request ran. */
  recordRun(runMs: number): void {
    this.averageRunMs += RUN_WEIGHT * (runMs - this.averageRunMs);
  }

  /**
   * Remaining back-off time of the target for this host; 0 if there is none.
   */
  get backOffLeftMs(): number {
    return Math.max(0, this.signals.backOffUntilMs - this.clock.now());
  }

  /**
   * Requests of all hosts at the target, as a fraction of its slots: the larger
   * of this host's own requests and the reported load of all hosts.
   */
  get load(): number {
    const own = this.inFlight / this.effectiveSlots;
    const isReportCurrent =
      this.clock.now() - this.reportedMs < LOAD_LIFETIME_MS;
    return isReportCurrent ? Math.max(own, this.reportedLoad) : own;
  }

  /**
   * Stores a reported load.
   *
   * @param load - requests of all hosts, as a fraction of the slots.
   */
  setReportedLoad(load: number): void {
    this.reportedLoad = load;
    this.reportedMs = this.clock.now();
  }

  /** Names of the loaded models, each with its loaded adapters. */
  get held(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.heldModels;
  }

  /**
   * Checks whether a model is loaded.
   *
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well, if given.
   * @returns whether it is loaded.
   */
  holds(model: string, adapter?: string): boolean {
    const adapters = this.heldModels.get(model);
    if (adapters === undefined) return false;
    return adapter === undefined || adapters.has(adapter);
  }

  /**
   * Replaces the set of loaded models.
   *
   * @param registration - the registration to take the models from.
   */
  setHeldModels(registration: TargetRegistration): void {
    this.replaceHeld(
      registration.held.map(({model, adapters}) => [model, adapters]),
    );
  }

  /**
   * Replaces the set of loaded models.
   *
   * @param models - the models, each with its adapters.
   */
  replaceHeld(models: Iterable<readonly [string, readonly string[]]>): void {
    this.heldModels.clear();
    for (const [model, adapters] of models)
      this.heldModels.set(model, new Set(adapters));
    this.gains.update(this.heldModels);
    this.onHeldChange();
  }

  /** Records that a model, or an adapter of it, is loaded. */
  addHeld({model, adapter}: ModelDemand): void {
    let adapters = this.heldModels.get(model);
    if (adapters === undefined) {
      adapters = new Set();
      this.heldModels.set(model, adapters);
    }
    if (adapter !== undefined) adapters.add(adapter);
    this.onHeldChange();
  }

  /** Records that a model, or an adapter of it, is not loaded. */
  dropHeld({model, adapter}: ModelDemand): void {
    if (adapter === undefined) this.heldModels.delete(model);
    else this.heldModels.get(model)?.delete(adapter);
    this.onHeldChange();
  }

  /**
   * Returns a number that changes when reports name a model after they have
   * left it out.
   *
   * @param demand - the model, or an adapter of it.
   */
  gainsOf({model, adapter}: ModelDemand): number {
    return this.gains.countOf(residentKey(model, adapter));
  }

  /** Counts a request as in flight until {@link KnownTarget.endRequest}. */
  beginRequest(demand: ModelDemand | undefined): void {
    this.inFlight += 1;
    if (demand !== undefined) this.countModel(demand, 1);
  }

  /** Stops counting a request counted by {@link KnownTarget.beginRequest}. */
  endRequest(demand: ModelDemand | undefined): void {
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
const NO_MODELS = {orderCount: 0, held: [], inMemory: [], onDisk: []};

/** A target that was added, changed or removed. */
export interface TargetChange {
  id: string;
  /** Undefined if the target was removed. */
  registration: TargetRegistration | undefined;
}

/** Index of targets by id and by service. */
export class TargetTable {
  private readonly byId = new Map<string, KnownTarget>();
  private readonly changes = new Map<string, number>();
  private changeCount = 0;
  private readonly byService = new Map<string, KnownTarget[]>();
  private readonly holders = new HolderIndex();
  private readonly signals: SignalTable;
  private readonly listed = new ListingPeriod();
  private readonly limitListeners: Array<
    (target: KnownTarget, isOwn: boolean) => void
  > = [];
  private readonly leavingListeners: Array<(target: KnownTarget) => void> = [];
  private readonly endedListeners: Array<(target: KnownTarget) => void> = [];
  private readonly processListeners: Array<
    (ended: TargetRegistration | undefined) => void
  > = [];

  /**
   * @param clock - measures the validity of the data about each target.
   * @param evacuations - the evacuated zones.
   * @param warming - knows which targets are cold; by default none is.
   * @param registrationLifetimeMs - time after the end of a process by which its
   *     registration has been replaced or removed; by default it may stay.
   */
  constructor(
    private readonly clock: Clock,
    private readonly evacuations = new ZoneEvacuations(clock),
    private readonly warming: TargetWarming = new NeverCold(),
    private readonly registrationLifetimeMs = Infinity,
  ) {
    this.signals = new SignalTable(clock);
  }

  /**
   * @param listener - called with the registration of each process that is
   *     replaced or removed, and without one for each that is added.
   */
  onProcessChange(
    listener: (ended: TargetRegistration | undefined) => void,
  ): void {
    this.processListeners.push(listener);
  }

  /** @param listener - called once for each process that is leaving. */
  onLeaving(listener: (target: KnownTarget) => void): void {
    this.leavingListeners.push(listener);
  }

  /** @param listener - called once for each process that has ended. */
  onEnded(listener: (target: KnownTarget) => void): void {
    this.endedListeners.push(listener);
  }

  /**
   * Records the signals of an answer. They apply until another process has the
   * target's id.
   *
   * @param target - the target that answered.
   * @param signals - its signals.
   */
  recordSignals({registration}: KnownTarget, signals: AnswerSignals): void {
    const known = this.signals.forProcess(
      registration.id,
      registration.startedMs,
    );
    if (signals.backOffMs !== undefined) {
      this.signals.recordBackOff(known, signals.backOffMs);
    }
    if (signals.isLeaving)
      this.markLeaving(registration.id, registration.startedMs);
  }

  /**
   * Records the limit in an answer to a request, or that it named none.
   *
   * @param target - the target that answered.
   * @param perSecond - the limit, if it named one.
   */
  recordLimit(target: KnownTarget, perSecond: number | undefined): void {
    const {id, startedMs} = target.registration;
    const known = this.signals.forProcess(id, startedMs);
    const limit = {perSecond, namedMs: this.clock.now()};
    if (this.signals.recordLimit(known, limit))
      for (const listener of this.limitListeners) listener(target, true);
  }

  /**
   * Applies the limit that a target has named to another host.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   * @param limit - the limit.
   */
  applyLimit(id: string, startedMs: number, limit: NamedLimit): void {
    if (this.signals.isOutdated(id, startedMs)) return;
    const known = this.signals.forProcess(id, startedMs);
    if (!this.signals.recordLimit(known, limit)) return;
    const target = this.byId.get(id);
    if (target?.registration.startedMs !== startedMs) return;
    for (const listener of this.limitListeners) listener(target, false);
  }

  /**
   * @param listener - called with each target whose limit has changed, and
   *     whether the target named it to this host.
   */
  onLimitChange(listener: (target: KnownTarget, isOwn: boolean) => void): void {
    this.limitListeners.push(listener);
  }

  /**
   * Marks a process of a target as leaving. This is final.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   */
  markLeaving(id: string, startedMs: number): void {
    if (this.signals.isOutdated(id, startedMs)) return;
    const signals = this.signals.forProcess(id, startedMs);
    if (signals.isLeaving) return;
    signals.isLeaving = true;
    const target = this.byId.get(id);
    if (target?.registration.startedMs !== startedMs) return;
    this.recordChange(id);
    for (const listener of this.leavingListeners) listener(target);
  }

  /**
   * Records that the table holds the listed targets.
   *
   * @param asOfMs - clock time at which the list was current.
   */
  recordListed(asOfMs: number): void {
    this.listed.record(asOfMs);
  }

  /**
   * Records that the process of a target was seen to have ended. A process that
   * stays registered for longer than one that has ended was cut off instead.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   */
  markEnded(id: string, startedMs: number): void {
    if (this.signals.isOutdated(id, startedMs)) return;
    const signals = this.signals.forProcess(id, startedMs);
    const target = this.byId.get(id);
    const isKnown = target?.hasEnded ?? false;
    signals.endedMs = this.clock.now();
    if (isKnown || target?.registration.startedMs !== startedMs) return;
    this.recordChange(id);
    for (const listener of this.endedListeners) listener(target);
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

  /**
   * Returns the targets of a service that hold a model, including leaving ones.
   *
   * @param service - name of the service.
   * @param demand - the model.
   */
  holding(service: string, demand: ModelDemand): readonly KnownTarget[] {
    return this.holders.find(service, this.ofService(service), demand);
  }

  /** Number of targets that name a limit. */
  get limitedCount(): number {
    let count = 0;
    for (const {limit} of this.byId.values()) {
      if (limit.perSecond !== undefined) count += 1;
    }
    return count;
  }

  /** Number of targets that are cold. */
  get coldCount(): number {
    if (!this.warming.isDeclared) return 0;
    let count = 0;
    for (const {coldLeftMs} of this.byId.values()) {
      if (coldLeftMs > 0) count += 1;
    }
    return count;
  }

  /**
   * Records how cold a target is.
   *
   * @param target - the target.
   * @param report - what it, or a peer, says.
   * @param source - where the report comes from.
   */
  recordCold(
    {registration}: KnownTarget,
    report: ColdReport,
    source: ColdSource,
  ): void {
    if (this.warming.recordReport(registration, report, source))
      this.recordChange(registration.id);
  }

  /** Records that a target could not be reached and may have been restarted. */
  recordUnreachable({registration}: KnownTarget): void {
    if (this.warming.recordUnreachable(registration))
      this.recordChange(registration.id);
  }

  /** Returns the paces of the targets that runs were observed at lately. */
  *paces(): Generator<readonly [string, number]> {
    for (const {registration, work} of this.byId.values()) {
      const {factor} = work.pace;
      if (work.pace.own.count > 0 || factor !== 1)
        yield [registration.id, factor];
    }
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
  changesSince(revision: number): TargetChange[] {
    const changed: TargetChange[] = [];
    for (const [id, changedAt] of this.changes) {
      if (changedAt <= revision) continue;
      const target = this.byId.get(id);
      const registration = target && {
        ...target.registration,
        isLeaving: target.isLeaving,
        hasEnded: target.hasEnded || undefined,
        cold: target.coldSummary,
      };
      changed.push({id, registration});
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
   * @param registration - the registration of the target.
   * @param shouldSetHeldModels - whether to apply the models of the registration; false
   *     while newer data about them is available from elsewhere. The models of
   *     a new process are always applied.
   * @returns the target; a new object for a new process. The registration of an
   *     older process than the known one changes nothing, and the returned
   *     target is marked as removed.
   */
  put(
    registration: TargetRegistration,
    shouldSetHeldModels: boolean,
  ): KnownTarget {
    const known = this.byId.get(registration.id);
    if (this.signals.isOutdated(registration.id, registration.startedMs)) {
      const outdated = new KnownTarget(registration, this.clock);
      outdated.isRemoved = true;
      return outdated;
    }
    const signals = this.signals.forProcess(
      registration.id,
      registration.startedMs,
    );
    if (registration.isLeaving) signals.isLeaving = true;
    if (registration.hasEnded) signals.endedMs = this.clock.now();
    if (
      known !== undefined &&
      isSameProcess(known.registration, registration)
    ) {
      const earlier = known.registration;
      const hasMoved = earlier.service !== registration.service;
      const isColder = this.warming.recordRegistration(registration, false);
      if (isColder || isRelevantToPeers(known.registration, registration))
        this.recordChange(registration.id);
      known.registration = registration;
      if (shouldSetHeldModels) known.setHeldModels(registration);
      if (hasMoved) this.reindex();
      const {softwareVersion} = registration;
      if (hasMoved || earlier.softwareVersion !== softwareVersion)
        this.reportProcess(earlier);
      return known;
    }
    if (known !== undefined) known.isRemoved = true;
    this.warming.recordRegistration(registration, true);
    const {clock, evacuations, warming} = this;
    const onHeldChange = () => this.holders.clear();
    const outlastsEnd = (endedMs: number) =>
      this.listed.lengthSince(endedMs) >= this.registrationLifetimeMs;
    const context = {evacuations, warming, onHeldChange, outlastsEnd};
    const target = new KnownTarget(registration, clock, signals, context);
    this.byId.set(registration.id, target);
    this.recordChange(registration.id);
    this.reindex();
    this.reportProcess(known?.registration);
    return target;
  }

  /**
   * Adds or updates a target that another host knows.
   *
   * @param summary - the registration without models; known models are kept.
   */
  putSummary(summary: RegistrationSummary): void {
    const known = this.byId.get(summary.id);
    const isKnown =
      known !== undefined && isSameProcess(known.registration, summary);
    const models = isKnown ? known.registration : NO_MODELS;
    this.put({...models, ...summary}, false);
  }

  /**
   * Removes a target whose registration has ended.
   *
   * @param id - id of the target.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (known === undefined) return;
    known.isRemoved = true;
    this.byId.delete(id);
    this.warming.forget(id);
    this.recordChange(id);
    this.reindex();
    this.reportProcess(known.registration);
  }

  private reportProcess(ended: TargetRegistration | undefined): void {
    for (const listener of this.processListeners) listener(ended);
  }

  private recordChange(id: string): void {
    this.changeCount += 1;
    this.changes.set(id, this.changeCount);
  }

  private reindex(): void {
    this.holders.clear();
    this.byService.clear();
    for (const target of this.byId.values()) {
      const {service} = target.registration;
      const others = this.byService.get(service);
      if (others === undefined) this.byService.set(service, [target]);
      else others.push(target);
    }
  }
}

/** Returns whether other hosts have to know a newer registration. */
function isRelevantToPeers(
  known: TargetRegistration,
  registration: TargetRegistration,
): boolean {
  return (
    known.isLeaving !== registration.isLeaving ||
    known.address !== registration.address ||
    known.softwareVersion !== registration.softwareVersion ||
    known.service !== registration.service
  );
}
