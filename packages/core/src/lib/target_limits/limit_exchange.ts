/** Shares the limits of targets between hosts. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {COLD_SOURCE} from '../warming/target_warming.js';
import {
  LimitState,
  PUBLISH_LIMITS,
  REPORT_LIMIT,
  REQUEST_SEND,
} from './limit_messages.js';
import {SendGrant, SendLoans, SendRequest} from './send_loans.js';
import {SendLender} from './send_lender.js';

/**
 * Interval at which all limits are repeated, for hosts that missed some, and
 * the same for each limit.
 */
const REPEAT_INTERVAL_MS = 1_000;
const REPEAT_MS_PER_LIMIT = 100;

/** Time in which changes are collected before they are published. */
const PUBLISH_DELAY_MS = 20;

/** How long the end of a limit is repeated. */
const ENDED_LIFETIME_MS = 10_000;

/** Timeout of a request for a send: a reachable lender replies at once. */
const REQUEST_TIMEOUT_MS = 250;

/** Dependencies of a {@link LimitExchange}. */
export interface LimitExchangeParts {
  clock: Clock;
  network: PeerNetwork;
  targets: TargetTable;
  /**
   * The host that shares the limits, while it is heard; `fencing` differs each
   * time that the role changes.
   */
  lendingHost: () =>
    {host: string; incarnation: string; fencing?: number} | undefined;
  hostCount: () => number;
}

/**
 * Lets one host share the limits of targets among all hosts. Each host reports
 * what targets say to it, and is told what they said to others.
 */
export class LimitExchange extends SendLoans {
  private readonly lender: SendLender;
  private wasLending = false;
  private lastFencing: number | undefined;
  /** Targets whose limits have changed since the last publication. */
  private readonly changed = new Set<KnownTarget>();

  /** @param parts - see {@link LimitExchangeParts}. */
  constructor(private readonly parts: LimitExchangeParts) {
    super();
    this.lender = new SendLender(parts.clock);
    parts.targets.onLimitChange((target, isOwn) => this.spread(target, isOwn));
    this.registerHandlers();
  }

  override get hostCount(): number {
    return this.parts.hostCount();
  }

  /**
   * Repeats the limits while this host shares them, until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, network} = this.parts;
    while (!signal.aborted) {
      this.noticeTakeover();
      const limits = this.isLending ? this.currentLimits() : [];
      if (limits.length > 0) network.broadcast(PUBLISH_LIMITS, {limits});
      const pauseMs = REPEAT_INTERVAL_MS + limits.length * REPEAT_MS_PER_LIMIT;
      await clock.sleep(pauseMs, signal);
    }
  }

  override async requestSend(
    request: SendRequest,
    signal: AbortSignal,
  ): Promise<SendGrant | undefined> {
    const {lendingHost, network} = this.parts;
    if (this.isLending) return this.lend(request);
    const lending = lendingHost();
    if (lending === undefined) return undefined;
    const grant = await network.call(lending.host, REQUEST_SEND, request, {
      timeoutMs: REQUEST_TIMEOUT_MS,
      signal,
    });
    return grant.isOk() ? grant.value : undefined;
  }

  private get isLending(): boolean {
    const {lendingHost, network} = this.parts;
    return lendingHost()?.incarnation === network.self.incarnation;
  }

  /** Starts with empty schedules, as another host has lent until now. */
  private noticeTakeover(): void {
    const {isLending} = this;
    const fencing = this.parts.lendingHost()?.fencing;
    const isNewRole = !this.wasLending || fencing !== this.lastFencing;
    if (isLending && isNewRole) this.lender.restart();
    this.wasLending = isLending;
    this.lastFencing = fencing;
  }

  private lend(request: SendRequest): SendGrant {
    this.noticeTakeover();
    const target = this.parts.targets.get(request.target);
    const isSame = target?.registration.startedMs === request.startedMs;
    if (!isSame) {
      const isCold = request.cold !== undefined;
      return this.lender.lend(request, request.perSecond, isCold);
    }
    const {targets} = this.parts;
    if (request.cold !== undefined)
      targets.recordCold(target, request.cold, COLD_SOURCE.peer);
    const cold = target.coldReport;
    const isCold = target.coldLeftMs > 0;
    const isWarmHere = request.cold !== undefined && !isCold;
    const perSecond = target.requestsPerSecond;
    if (isWarmHere && perSecond === undefined)
      return {isGranted: true, waitMs: 0, cold};
    const rate = perSecond ?? request.perSecond;
    return {...this.lender.lend(request, rate, isCold), cold};
  }

  private registerHandlers(): void {
    const {network} = this.parts;
    network.serveUnary(REQUEST_SEND, request => {
      // A rejected call makes the host use its own part of the limit.
      if (!this.isLending) throw new Error('not the lending host');
      return this.lend(request);
    });
    network.onNotification(REPORT_LIMIT, limit => this.apply(limit));
    network.onNotification(PUBLISH_LIMITS, ({limits}, from) => {
      const {lendingHost} = this.parts;
      if (lendingHost()?.incarnation !== from.incarnation) return;
      for (const limit of limits) this.apply(limit);
    });
  }

  private apply({target, startedMs, perSecond, namedAgoMs}: LimitState): void {
    const {clock, targets} = this.parts;
    const namedMs = clock.now() - namedAgoMs;
    targets.applyLimit(target, startedMs, {perSecond, namedMs});
  }

  /** Passes on a limit that has changed. */
  private spread(target: KnownTarget, isOwn: boolean): void {
    const {clock, lendingHost, network} = this.parts;
    if (this.isLending) {
      if (this.changed.size === 0)
        clock.after(PUBLISH_DELAY_MS, () => this.publishChanged());
      this.changed.add(target);
      return;
    }
    const lending = lendingHost();
    if (isOwn && lending !== undefined)
      network.notify(lending.host, REPORT_LIMIT, this.stateOf(target));
  }

  private publishChanged(): void {
    const limits = [...this.changed].map(target => this.stateOf(target));
    this.changed.clear();
    if (this.isLending) this.parts.network.broadcast(PUBLISH_LIMITS, {limits});
  }

  private currentLimits(): LimitState[] {
    const limits: LimitState[] = [];
    for (const target of this.parts.targets.all()) {
      const limit = this.stateOf(target);
      const isRecent = limit.namedAgoMs < ENDED_LIFETIME_MS;
      if (limit.perSecond !== undefined || (target.hasNamedLimit && isRecent))
        limits.push(limit);
    }
    return limits;
  }

  private stateOf(target: KnownTarget): LimitState {
    const {id, startedMs} = target.registration;
    const {perSecond, namedMs} = target.limit;
    const namedAgoMs = this.parts.clock.now() - namedMs;
    return {target: id, startedMs, perSecond, namedAgoMs};
  }
}
