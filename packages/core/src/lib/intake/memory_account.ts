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

/** Options of a {@link MemoryHolding}. */
export interface HoldingOptions {
  /** Whether the holding never waits while it is small. */
  isFavored: boolean;
  /** Time without progress after which it may be given up; 1 s by default. */
  stallMs?: number;
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
  /** Clock time of its last progress, as far as checks have seen. */
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

  /** Whether its bytes are in use, so that they can't be given up. */
  get isPinned(): boolean {
    return this.pinned;
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
  }

  /** Moves the time of the last progress if there was any. */
  checkProgress(nowMs: number): void {
    if (this.movedBytes < PROGRESS_BYTES) return;
    this.movedBytes = 0;
    this.progressMs = nowMs;
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

  /** Ends the holding; further calls have no effect. */
  close(): void {
    this.account.remove(this);
    const bytes = this.heldBytes;
    this.heldBytes = 0;
    if (bytes > 0) this.account.recordRelease(bytes);
  }
}

/**
 * One account for all bytes that a process holds for its callers. Holdings that
 * do not fit wait, and those without progress are given up for them.
 */
export class MemoryAccount {
  private used = 0;
  private readonly holdings = new Set<MemoryHolding>();
  private readonly waiting = new Set<MemoryHolding>();
  private timer: Timer | undefined;

  /**
   * @param clock - measures progress.
   * @param limitBytes - number of bytes over which holdings wait.
   */
  constructor(
    private readonly clock: Clock,
    readonly limitBytes: number,
  ) {}

  /** Bytes that are held. */
  get usedBytes(): number {
    return this.used;
  }

  /** Number of holdings that wait for memory. */
  get waitingCount(): number {
    return this.waiting.size;
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
    this.waiting.add(holding);
    return false;
  }

  /** Called by holdings; see {@link MemoryHolding.add}. */
  recordAddition(bytes: number): void {
    this.used += bytes;
    if (this.used > this.limitBytes) this.schedule();
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

  /** Lets holdings go on while there is room, those that waited longest first. */
  private wake(): void {
    let room = this.limitBytes - this.used;
    for (const holding of this.waiting) {
      if (room <= 0) return;
      // What its connection brings at once.
      room -= SMALL_BYTES;
      this.waiting.delete(holding);
      holding.progressMs = this.clock.now();
      holding.options.resume();
    }
  }

  private schedule(): void {
    this.timer ??= this.clock.after(CHECK_INTERVAL_MS, () => {
      this.timer = undefined;
      this.relieve();
      if (this.used > this.limitBytes || this.waiting.size > 0) this.schedule();
    });
  }

  /**
   * Gives up holdings that hold most for the longest time without progress. If
   * none has stalled by itself, the last one that waits makes way for the others,
   * which could not go on either.
   */
  private relieve(): void {
    const nowMs = this.clock.now();
    for (const holding of this.holdings) holding.checkProgress(nowMs);
    const stalled = [...this.holdings].filter(
      holding =>
        !holding.isPinned &&
        !this.waiting.has(holding) &&
        holding.bytes > 0 &&
        nowMs - holding.progressMs >= (holding.options.stallMs ?? STALL_MS),
    );
    const weight = ({bytes, progressMs}: MemoryHolding) =>
      bytes * (nowMs - progressMs);
    stalled.sort((a, b) => weight(b) - weight(a));
    const goal = this.limitBytes * RELIEF_SHARE;
    for (const holding of stalled) {
      if (this.used <= goal) return;
      this.evict(holding);
    }
    if (stalled.length > 0) return;
    const last = [...this.waiting].reduce<MemoryHolding | undefined>(
      (latest, each) =>
        latest === undefined || each.beganMs >= latest.beganMs ? each : latest,
      undefined,
    );
    const isStuck = last !== undefined && nowMs - last.progressMs >= STALL_MS;
    if (isStuck) this.evict(last);
  }

  private evict(holding: MemoryHolding): void {
    holding.options.evict();
    holding.close();
  }
}
