/** Exchange of pool tokens between hosts. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {Clock, Timer} from '../time/clock.js';
import {
  PackedEntry,
  PoolEntry,
  packEntry,
  poolEntrySchema,
  unpackEntry,
} from './pool_lender.js';
import {PeerShareState} from './local_share.js';
import {PoolSpec, ShareHost, ShareView, homeZone} from './share_view.js';
import {SharedPool} from './shared_pool.js';

/** Report interval while tokens of the peer are held or needed. */
const BUSY_INTERVAL_MS = 500;

/** Default report interval to a peer in the same zone. */
const ZONE_INTERVAL_MS = 2_000;

/** Default report interval to a peer in another zone. */
const REMOTE_INTERVAL_MS = 10_000;

/** Report interval to a peer while the report would be unchanged. */
const IDLE_INTERVAL_MS = 60_000;

/** Minimum time between two reports to the same peer. */
const MIN_INTERVAL_MS = 25;

/** Interval at which all pools are reviewed. */
const REVIEW_INTERVAL_MS = 250;

const CALL_TIMEOUT_MS = 1_000;

const reportSchema = z.object({
  /** Incarnation of the lender that the report is meant for. */
  to: z.string(),
  /** Incarnation of the borrower. */
  from: z.string(),
  /** Increases with each report of the borrower's incarnation. */
  sequence: z.number().int(),
  /** Version of the declared zones that the borrower has applied. */
  version: z.number().int(),
  /** Entries by pool; a pool that is not listed holds and needs nothing. */
  pools: z.array(poolEntrySchema),
});

/** A report to a lender, which also requests tokens. */
export type ShareReport = z.output<typeof reportSchema>;

/** Name of the pool, tokens granted, surplus that remains at the lender. */
const grantSchema = z.tuple([z.string(), z.number().min(0), z.number().min(0)]);

const replySchema = z.object({
  /**
   * Whether the lender accepted the report. False if it is outdated, meant for
   * another incarnation, or from a host that is not a member.
   */
  taken: z.boolean(),
  grants: z.array(grantSchema),
});

/** Reply of a lender to a report. */
export type ShareReply = z.output<typeof replySchema>;

/**
 * Reports the tokens that a host holds of a lender and requests more.
 *
 * A host has one outstanding report per lender. Once it has sent the next one,
 * it ignores replies to earlier ones, so the lender can treat the newest report
 * as the complete state of the loan.
 */
export const SHARE_REPORT: PeerMethod<ShareReport, ShareReply> = {
  name: 'limits.ask',
  body: reportSchema,
  event: replySchema,
};

/** Dependencies of a {@link ShareExchange}. */
export interface ShareExchangeOptions {
  network: PeerNetwork;
  clock: Clock;
  view: ShareView;
}

interface Borrower {
  incarnation: string;
  sequence: number;
  pastIncarnations: Set<string>;
  /** Newest report, for pools that are declared here after it arrived. */
  latest: ShareReport;
}

interface LenderState {
  /** Surplus of each pool as last reported by the lender, in tokens. */
  surplusByPool: Map<string, number>;
  lastReportAtMs: number;
  /** Content of the last accepted report, if it listed no pool. */
  lastEmptyReport: {to: string; version: number} | undefined;
  /** Whether a request is waiting while this lender has a surplus. */
  isUrgent: boolean;
  wake: () => void;
}

/** Manages all pools of a host and exchanges their tokens with its peers. */
export class ShareExchange {
  private readonly pools = new Map<string, SharedPool>();
  private readonly specs = new Map<string, PoolSpec>();
  private readonly borrowers = new Map<string, Borrower>();
  private readonly lenders = new Map<string, LenderState>();
  private sequence = 0;

  constructor(private readonly options: ShareExchangeOptions) {
    options.network.serveUnary(SHARE_REPORT, (report, {from}) =>
      this.handleReport(from.host, report),
    );
  }

  /**
   * Declares a pool, or changes its rate, burst or floor.
   *
   * @param spec - declaration of the pool, the same on every host.
   * @param maxHoldMs - maximum time that a permit is held, in milliseconds. For
   *     that long, tokens borrowed by a host that was lost stay unavailable.
   * @returns the pool.
   */
  define(spec: PoolSpec, maxHoldMs: number): SharedPool {
    const {clock, view} = this.options;
    this.specs.set(spec.name, spec);
    const known = this.pools.get(spec.name);
    if (known !== undefined) {
      known.reshape(spec);
      return known;
    }
    const wakeLenders = () => this.wakeLenders(spec.name);
    const pool = new SharedPool({
      spec,
      clock,
      view,
      maxHoldMs,
      onShortage: wakeLenders,
    });
    this.pools.set(spec.name, pool);
    for (const [host, {latest}] of this.borrowers) {
      pool.handleReport(
        host,
        entryOf(latest, spec.name),
        peerStateOf(latest, spec.name),
      );
    }
    for (const {wake} of this.lenders.values()) wake();
    return pool;
  }

  /** Returns the pool with a name, if it is declared. */
  pool(name: string): SharedPool | undefined {
    return this.pools.get(name);
  }

  /**
   * Removes a pool and refuses the requests that wait for its tokens. Tokens
   * held of it are still reported, so the pool may be declared again any time.
   */
  remove(name: string): void {
    const spec = this.specs.get(name);
    if (spec === undefined) return;
    this.define({...spec, rate: 0, burst: 0}, 0).close();
  }

  /** Exchanges tokens with peers until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => {
      for (const {wake} of this.lenders.values()) wake();
    });
    await this.options.clock.every(REVIEW_INTERVAL_MS, signal, () => {
      for (const pool of this.pools.values()) {
        pool.review();
        if (pool.need > 0) this.wakeIdleLenders();
      }
      for (const {host} of this.options.view.peers()) {
        if (!this.lenders.has(host)) void this.runReportLoop(host, signal);
      }
    });
  }

  /** Sends reports to a peer for as long as it is a member. */
  private async runReportLoop(
    host: string,
    signal: AbortSignal,
  ): Promise<void> {
    const lender: LenderState = {
      surplusByPool: new Map(),
      lastReportAtMs: -Infinity,
      lastEmptyReport: undefined,
      isUrgent: false,
      wake: () => {},
    };
    this.lenders.set(host, lender);
    while (!signal.aborted) {
      const peer = this.findPeer(host);
      if (peer === undefined) break;
      const wasTaken = await this.sendReport(peer, lender, signal);
      const intervalMs = lender.isUrgent
        ? MIN_INTERVAL_MS
        : this.reportIntervalMs(peer, lender);
      lender.isUrgent = false;
      await this.waitForNextReport(lender, wasTaken ? intervalMs : undefined);
    }
    this.lenders.delete(host);
  }

  private waitForNextReport(
    lender: LenderState,
    intervalMs = BUSY_INTERVAL_MS,
  ): Promise<void> {
    return new Promise(resolve => {
      const {clock} = this.options;
      const timers: Timer[] = [clock.after(intervalMs, () => finish())];
      const finish = () => {
        for (const timer of timers) timer.cancel();
        lender.wake = () => {};
        resolve();
      };
      lender.wake = () => {
        lender.wake = () => {};
        const waitedMs = clock.now() - lender.lastReportAtMs;
        timers.push(clock.after(MIN_INTERVAL_MS - waitedMs, finish));
      };
    });
  }

  private async sendReport(
    peer: ShareHost,
    lender: LenderState,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {network, clock, view} = this.options;
    const pools = this.entriesFor(peer, lender);
    this.sequence += 1;
    lender.lastReportAtMs = clock.now();
    const {lastReportAtMs: reportedAtMs} = lender;
    const report: ShareReport = {
      to: peer.incarnation,
      from: view.self.incarnation,
      sequence: this.sequence,
      version: view.version,
      pools,
    };
    const timeoutMs = CALL_TIMEOUT_MS;
    const options = {timeoutMs, signal};
    const reply = await network.call(peer.host, SHARE_REPORT, report, options);
    lender.lastEmptyReport = undefined;
    if (reply.isErr() || !reply.value.taken) return false;
    if (pools.length === 0)
      lender.lastEmptyReport = {to: report.to, version: report.version};
    for (const [pool, granted, left] of reply.value.grants) {
      lender.surplusByPool.set(pool, left);
      const known = this.pools.get(pool);
      known?.receive(peer.host, granted, reportedAtMs);
      if (known !== undefined && known.waiting > 0 && left > 0) {
        lender.isUrgent = true;
      }
    }
    return true;
  }

  private entriesFor(peer: ShareHost, lender: LenderState): PackedEntry[] {
    const entries: PackedEntry[] = [];
    for (const [name, pool] of this.pools) {
      if (!this.isSharedWith(name, peer)) continue;
      const entry = pool.prepareEntry(
        peer.host,
        this.needFraction(pool, lender),
      );
      const {need, held, returned, charge} = entry;
      if (need + held + returned + charge > 0) entries.push(packEntry(entry));
    }
    return entries;
  }

  /**
   * Returns the fraction of a need that is requested from a lender, 0 to 1. The
   * need is divided over the lenders by their last known surplus. A lender whose
   * surplus is unknown is asked for the whole need, and so is every lender while
   * requests are waiting.
   */
  private needFraction(
    {name: pool, waiting}: SharedPool,
    lender: LenderState,
  ): number {
    const ownSurplus = lender.surplusByPool.get(pool);
    if (ownSurplus === undefined || waiting > 0) return 1;
    let total = 0;
    for (const {surplusByPool: surpluses} of this.lenders.values())
      total += surpluses.get(pool) ?? 0;
    const equalFraction = 1 / Math.max(1, this.lenders.size);
    return total === 0
      ? equalFraction
      : Math.max(equalFraction, ownSurplus / total);
  }

  private handleReport(host: string, report: ShareReport): ShareReply {
    const {view} = this.options;
    const isForThisIncarnation = report.to === view.self.incarnation;
    // The loan of a host that is not a member would be written off as that of
    // a host that has left, while its tokens are still in use.
    const isFromMember = this.findPeer(host)?.incarnation === report.from;
    if (
      !isForThisIncarnation ||
      !isFromMember ||
      !this.recordIfNewer(host, report)
    ) {
      return {taken: false, grants: []};
    }
    const grants: ShareReply['grants'] = [];
    for (const [name, pool] of this.pools) {
      const entry = entryOf(report, name);
      const {granted, left} = pool.handleReport(
        host,
        entry,
        peerStateOf(report, name),
      );
      const {need} = entry;
      if (need > 0 || granted > 0) grants.push([name, granted, left]);
    }
    return {taken: true, grants};
  }

  private recordIfNewer(host: string, report: ShareReport): boolean {
    const {from, sequence} = report;
    const known = this.borrowers.get(host);
    // A host that has just started withholds its burst until its peers report
    // that they know its incarnation, so it is sent a report at once.
    if (known?.incarnation !== from) this.lenders.get(host)?.wake();
    if (known === undefined) {
      const borrower = {
        incarnation: from,
        sequence,
        pastIncarnations: new Set<string>(),
      };
      this.borrowers.set(host, {...borrower, latest: report});
      return true;
    }
    if (known.pastIncarnations.has(from)) return false;
    if (known.incarnation !== from) {
      known.pastIncarnations.add(known.incarnation);
      known.incarnation = from;
    } else if (sequence <= known.sequence) return false;
    known.sequence = sequence;
    known.latest = report;
    return true;
  }

  private wakeLenders(pool: string): void {
    const sharedPool = this.pools.get(pool);
    if (sharedPool === undefined || sharedPool.need === 0) return;
    for (const lender of this.lenders.values()) {
      if (lender.surplusByPool.get(pool) !== 0) lender.wake();
    }
  }

  /** Wakes the lenders that were last sent an empty report, to report a need. */
  private wakeIdleLenders(): void {
    for (const lender of this.lenders.values()) {
      if (lender.lastEmptyReport !== undefined) lender.wake();
    }
  }

  private findPeer(host: string): ShareHost | undefined {
    return this.options.view.peers().find(peer => peer.host === host);
  }

  private isSharedWith(pool: string, {zone}: ShareHost): boolean {
    const {zone: onlyZone} = this.specs.get(pool)!;
    return onlyZone === undefined || onlyZone === zone;
  }

  private reportIntervalMs(
    {host, zone, incarnation}: ShareHost,
    {lastEmptyReport: emptyReport}: LenderState,
  ): number {
    const {view} = this.options;
    for (const [name, pool] of this.pools) {
      if (pool.holdsTokensOf(host)) return BUSY_INTERVAL_MS;
      const isNear = zone === view.self.zone || this.isHomeZone(name, zone);
      if (isNear && pool.need > 0) return BUSY_INTERVAL_MS;
    }
    const {version} = view;
    if (emptyReport?.to === incarnation && emptyReport.version === version) {
      return IDLE_INTERVAL_MS;
    }
    return zone === view.self.zone ? ZONE_INTERVAL_MS : REMOTE_INTERVAL_MS;
  }

  private isHomeZone(pool: string, zone: string): boolean {
    return homeZone(pool, this.options.view.zoneWeights().keys()) === zone;
  }
}

function entryOf({pools}: ShareReport, pool: string): PoolEntry {
  const listed = pools.find(([name]) => name === pool);
  if (listed !== undefined) return unpackEntry(listed);
  return {pool, need: 0, held: 0, returned: 0, charge: 0};
}

function peerStateOf(report: ShareReport, pool: string): PeerShareState {
  const {to, version} = report;
  const {charge} = entryOf(report, pool);
  return {knownIncarnation: to, version, charge};
}
