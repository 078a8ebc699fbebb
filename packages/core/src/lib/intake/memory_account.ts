/** Counts the memory that a process holds for its callers. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';

/** Holdings up to this size never wait, so that ordinary requests pass. */
export const SMALL_BYTES = 65_536;

/** Interval of the checks while the account is over its limit. */
const CHECK_INTERVAL_MS = 250;

/** Time without progress after which a holding may be given up by default. */
const STALL_MS = 1_000;

/**
 * Bytes that count as progress. A byte now and then must not keep the memory of
 * a large body from others.
 */
const PROGRESS_BYTES = 4_096;

/** Share of the limit down to which stalled holdings are given up. */
const RELIEF_SHARE = 0.5;

/** Most bytes that may be held, in parts of the limit. */
const MAX_FACTOR = 1.5;

/** Bytes that the operating system keeps of a connection that is not read. */
const UNREAD_BYTES = 65_536;

/** Options of a {@link MemoryHolding}. */
export interface HoldingOptions {
  /** Whether the holding never waits while it is small. */
  isFavored: boolean;
  /** Time without progress after which it may be given up; 1 s by default. */
  stallMs?: number;
  /** Whether it can be given up now; by default always. */
  canEvict?: () => boolean;
  /** Ends the holding; called if the account needs its memory. */
  evict: () => void;
  /** Called when the holding may grow after it had to wait. */
  resume: () => void;
}

/** Memory that is held for one request or answer. */
export class MemoryHolding {
  private heldBytes = 0;
  private pinned = false;
  private movedBytes = 0;
  /** Clock time of its last progress. */
  progressMs: number;

  /**
   * @param account - counts the bytes.
   * @param beganMs - clock time of its beginning.
   * @param options - see {@link HoldingOptions}.
   */
  constructor(
    private readonly account: MemoryAccount,
    readonly beganMs: number,
    readonly options: HoldingOptions,
  ) {
    this.progressMs = beganMs;
  }

  /** Bytes that are held. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Whether its bytes are in use. */
  get isPinned(): boolean {
    return this.pinned;
  }

  /** Whether it holds bytes that can be given up. */
  get isEvictable(): boolean {
    if (this.pinned || this.heldBytes === 0) return false;
    return this.options.canEvict?.() ?? true;
  }

  /** Replaces what is called if the account needs its memory. */
  onEvict(evict: () => void): void {
    this.options.evict = evict;
  }

  /** Records that nothing more is received for it. */
  stopWaiting(): void {
    this.account.stopWaiting(this);
  }

  /** Records that its bytes are in use until it is closed. */
  pin(): void {
    this.pinned = true;
    this.account.stopWaiting(this);
  }

  /** Counts bytes that were received or sent. */
  recordMoved(bytes: number): void {
    this.movedBytes += bytes;
    if (this.movedBytes < PROGRESS_BYTES) return;
    this.movedBytes = 0;
    this.recordProgress();
  }

  /** Records that it goes on, or that it could not until now. */
  recordProgress(): void {
    this.progressMs = this.account.now;
  }

  /**
   * Adds bytes, also over the limit.
   *
   * @param bytes - number of bytes.
   * @returns whether more may be received now; if not, `resume` is called later.
   */
  grow(bytes: number): boolean {
    this.heldBytes += bytes;
    return this.account.recordGrowth(this, bytes);
  }

  /** Adds bytes of a holding that nothing can keep waiting. */
  add(bytes: number): void {
    this.heldBytes += bytes;
    this.account.recordAddition(bytes);
  }

  /** Removes bytes that are no longer held. */
  shrink(bytes: number): void {
    this.heldBytes -= bytes;
    this.account.recordRelease(bytes);
  }

  /** Sets the bytes of a holding that nothing can keep waiting. */
  resize(bytes: number): void {
    const added = bytes - this.heldBytes;
    if (added > 0) this.add(added);
    else if (added < 0) this.shrink(-added);
  }

  /** Ends the holding; further calls have no effect. */
  close(): void {
    this.account.remove(this);
    const bytes = this.heldBytes;
    this.heldBytes = 0;
    if (bytes > 0) this.account.recordRelease(bytes);
  }
}

/**
 * One account for all bytes that a process holds for its callers. Beyond its
 * limit, large holdings wait, and those without progress are given up for them;
 * beyond a second limit holdings are given up at once.
 */
export class MemoryAccount {
  private used = 0;
  private readonly holdings = new Set<MemoryHolding>();
  private readonly waiting = new Set<MemoryHolding>();
  private timer: Timer | undefined;
  private isEvicting = false;
  /** Clock time at which a holding last went on, or began to wait alone. */
  private movedMs = 0;

  /**
   * @param clock - measures progress.
   * @param limitBytes - number of bytes over which holdings wait.
   * @param maxBytes - number of bytes over which holdings are given up.
   */
  constructor(
    private readonly clock: Clock,
    readonly limitBytes: number,
    readonly maxBytes = limitBytes * MAX_FACTOR,
  ) {}

  /** Bytes that are held. */
  get usedBytes(): number {
    return this.used;
  }

  /** Whether more is held than can be given up. */
  get isExhausted(): boolean {
    return this.used > this.maxBytes;
  }

  /** Number of holdings that wait for memory. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Clock time, in milliseconds. */
  get now(): number {
    return this.clock.now();
  }

  /** Opens a holding, without bytes yet. */
  open(options: HoldingOptions): MemoryHolding {
    const holding = new MemoryHolding(this, this.clock.now(), options);
    this.holdings.add(holding);
    return holding;
  }

  /** Called by holdings; see {@link MemoryHolding.grow}. */
  recordGrowth(holding: MemoryHolding, bytes: number): boolean {
    this.recordAddition(bytes);
    if (this.used <= this.limitBytes) return true;
    const {isFavored} = holding.options;
    if (holding.isPinned || (isFavored && holding.bytes <= SMALL_BYTES))
      return true;
    if (this.waiting.size === 0) this.movedMs = this.clock.now();
    this.waiting.add(holding);
    return false;
  }

  /** Called by holdings; see {@link MemoryHolding.add}. */
  recordAddition(bytes: number): void {
    this.used += bytes;
    if (this.used > this.limitBytes) this.schedule();
    if (this.isOverfull) this.scheduleEviction();
  }

  /** Called by holdings; see {@link MemoryHolding.shrink}. */
  recordRelease(bytes: number): void {
    this.used -= bytes;
    this.wake();
  }

  /** Called by holdings; see {@link MemoryHolding.close}. */
  remove(holding: MemoryHolding): void {
    this.holdings.delete(holding);
    this.waiting.delete(holding);
  }

  /** Called by holdings; see {@link MemoryHolding.pin}. */
  stopWaiting(holding: MemoryHolding): void {
    this.waiting.delete(holding);
  }

  private get isOverfull(): boolean {
    return this.used + this.waiting.size * UNREAD_BYTES > this.maxBytes;
  }

  /** Lets holdings go on while there is room, those that began first before others. */
  private wake(): void {
    let room = this.limitBytes - this.used;
    while (room > 0 && this.waiting.size > 0) {
      const holding = this.oldestWaiting();
      // What its connection brings at once.
      room -= SMALL_BYTES;
      this.waiting.delete(holding);
      this.movedMs = this.clock.now();
      holding.recordProgress();
      holding.options.resume();
    }
  }

  private oldestWaiting(): MemoryHolding {
    return [...this.waiting].reduce((oldest, each) =>
      each.beganMs < oldest.beganMs ? each : oldest,
    );
  }

  private schedule(): void {
    this.timer ??= this.clock.after(CHECK_INTERVAL_MS, () => {
      this.timer = undefined;
      this.relieve();
      if (this.used > this.limitBytes || this.waiting.size > 0) this.schedule();
    });
  }

  /** Gives up holdings once the caller has returned, as it may be one of them. */
  private scheduleEviction(): void {
    if (this.isEvicting) return;
    this.isEvicting = true;
    queueMicrotask(() => {
      this.isEvicting = false;
      const nowMs = this.clock.now();
      const stalled = this.listStalled(nowMs);
      const waiting = this.listWaiting();
      const listed = new Set([...stalled, ...waiting]);
      const others = [...this.holdings].filter(
        holding => !listed.has(holding) && holding.isEvictable,
      );
      sortByWeight(others, nowMs);
      for (const holding of [...stalled, ...waiting, ...others]) {
        if (this.used <= this.limitBytes && !this.isOverfull) return;
        this.evict(holding);
      }
    });
  }

  /**
   * Gives up holdings that hold most for the longest time without progress. If
   * none has stalled by itself and none went on, the last ones that wait make way
   * for the others, which could not go on either.
   */
  private relieve(): void {
    const nowMs = this.clock.now();
    const goal = this.limitBytes * RELIEF_SHARE;
    const stalled = this.listStalled(nowMs);
    for (const holding of stalled) {
      if (this.used <= goal) return;
      this.evict(holding);
    }
    if (stalled.length > 0 || nowMs - this.movedMs < STALL_MS) return;
    const waiting = this.listWaiting();
    const first = waiting.at(-1);
    for (const holding of waiting) {
      const canFirstGoOn = holding === first && this.used <= this.limitBytes;
      if (this.used <= goal || canFirstGoOn) return;
      this.evict(holding);
    }
  }

  /** Lists holdings without progress that do not wait, the heaviest first. */
  private listStalled(nowMs: number): MemoryHolding[] {
    const stalled = [...this.holdings].filter(
      holding =>
        holding.isEvictable &&
        !this.waiting.has(holding) &&
        nowMs - holding.progressMs >= (holding.options.stallMs ?? STALL_MS),
    );
    return sortByWeight(stalled, nowMs);
  }

  /** Lists holdings that wait, the last one first. */
  private listWaiting(): MemoryHolding[] {
    const waiting = [...this.waiting].reverse();
    return waiting.sort((a, b) => b.beganMs - a.beganMs);
  }

  private evict(holding: MemoryHolding): void {
    holding.options.evict();
    holding.close();
  }
}

/** Sorts holdings by their bytes and the time without progress, in place. */
function sortByWeight(
  holdings: MemoryHolding[],
  nowMs: number,
): MemoryHolding[] {
  const weight = ({bytes, progressMs}: MemoryHolding) =>
    bytes * (1 + nowMs - progressMs);
  return holdings.sort((a, b) => weight(b) - weight(a));
}
