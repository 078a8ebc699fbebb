/** Lets requests wait for tokens of their teams. @packageDocumentation */

import {randomBytes} from 'node:crypto';
import {Turn, TurnRequest} from '../limits/rate_queue.js';
import {Clock} from '../time/clock.js';
import {TURN_END, TurnEnd, TurnObserver} from './turn_observer.js';

/**
 * Maximum number of requests that wait on a host. A waiting request holds its
 * body and its connection.
 */
const MAX_WAITS = 500;

/**
 * Time after which a waiting request asks again before its turn, which may have
 * changed. A call that fails takes 250 ms; both together stay below the
 * lifetime of a waiting request at the lender.
 */
const RENEWAL_MS = 400;

/** Time between attempts to reach a lender at the beginning of a wait. */
const LENDER_POLL_MS = 50;

const ID_BYTES = 6;

/** What a request states to wait for its turn. */
export interface TurnNeeds {
  /** See `turnUrgency`. */
  urgency: number;
  /** Clock times at which it arrived, is due and is given up. */
  arrivedMs: number;
  objectiveMs: number;
  deadlineMs: number;
  /** Returns the digest that it and its repeats have in common. */
  digest: () => string;
}

/** Turn of a waiting request, and who has decided it. */
export interface HostTurn extends Turn {
  /** Whether no lender answered. */
  isLocal: boolean;
}

/** A request that waits. */
export interface TurnWait {
  /** Name of the team. */
  team: string;
  tokens: number;
  needs: TurnNeeds;
  /** Clock time until which it waits for a lender in any case. */
  lenderEndMs: number;
  /** Ends the wait, when the caller has left. */
  signal: AbortSignal;
  /** Asks for its turn. */
  ask: (request: TurnRequest, signal: AbortSignal) => Promise<HostTurn>;
}

/** The requests of a host that wait for tokens of their teams. */
export class TurnWaits {
  private readonly waits = new Map<AbortController, TurnWait>();
  private readonly idPrefix = randomBytes(ID_BYTES).toString('hex');
  private startedCount = 0;
  private isClosed = false;

  /**
   * @param clock - measures the waits.
   * @param observer - receives how waits end.
   */
  constructor(
    private readonly clock: Clock,
    private readonly observer: TurnObserver,
  ) {}

  /** Whether all waits were ended and no more begin. */
  get isStopped(): boolean {
    return this.isClosed;
  }

  /** Returns the tokens for which requests of each team wait. */
  tokensByTeam(): Map<string, number> {
    const waiting = new Map<string, number>();
    for (const {team, tokens} of this.waits.values())
      waiting.set(team, (waiting.get(team) ?? 0) + tokens);
    return waiting;
  }

  /** Ends all waits; no request waits any more. */
  stop(): void {
    this.isClosed = true;
    for (const ended of this.waits.keys()) ended.abort();
  }

  /**
   * Waits for the turn of a request.
   *
   * @param wait - see {@link TurnWait}.
   * @returns undefined once it has its tokens, or the milliseconds to its turn
   *     if it must not wait or its wait was ended.
   */
  async run(wait: TurnWait): Promise<number | undefined> {
    const ended = new AbortController();
    const end = () => ended.abort();
    wait.signal.addEventListener('abort', end);
    if (wait.signal.aborted || this.isClosed) end();
    const hasRoom = this.waits.size < MAX_WAITS;
    if (hasRoom) this.waits.set(ended, wait);
    try {
      return await this.waitForTurn(wait, hasRoom, ended.signal);
    } finally {
      wait.signal.removeEventListener('abort', end);
      this.waits.delete(ended);
    }
  }

  private async waitForTurn(
    wait: TurnWait,
    hasRoom: boolean,
    ended: AbortSignal,
  ): Promise<number | undefined> {
    const {clock} = this;
    const beganMs = clock.now();
    this.startedCount += 1;
    const id = `${this.idPrefix}-${this.startedCount}`;
    const content = wait.needs.digest();
    for (;;) {
      const canWait = hasRoom && !ended.aborted;
      const request = this.requestOf(wait, id, content, canWait);
      const turn = await wait.ask(request, ended);
      const {isGranted, isLocal, inMs} = turn;
      const awaitsLender = isLocal && canWait && clock.now() < wait.lenderEndMs;
      const isOver = ended.aborted || (turn.isRefused && !awaitsLender);
      if (isGranted || isOver) {
        const turnEnd = isGranted
          ? TURN_END.granted
          : this.refusalEnd(wait, hasRoom, inMs);
        this.report(wait, turnEnd, beganMs, turn);
        return isGranted ? undefined : Math.ceil(inMs);
      }
      const pauseMs = awaitsLender ? LENDER_POLL_MS : RENEWAL_MS;
      await clock.sleep(Math.ceil(Math.min(inMs, pauseMs)), ended);
    }
  }

  private requestOf(
    {needs}: TurnWait,
    id: string,
    content: string,
    canWait: boolean,
  ): TurnRequest {
    const nowMs = this.clock.now();
    return {
      id,
      content,
      urgency: needs.urgency,
      objectiveInMs: needs.objectiveMs - nowMs,
      deadlineInMs: needs.deadlineMs - nowMs,
      waitedMs: nowMs - needs.arrivedMs,
      canWait,
    };
  }

  private refusalEnd(wait: TurnWait, hasRoom: boolean, inMs: number): TurnEnd {
    if (wait.signal.aborted) return TURN_END.callerLeft;
    if (this.isClosed) return TURN_END.stopping;
    if (this.clock.now() + inMs >= wait.needs.deadlineMs)
      return TURN_END.afterDeadline;
    return hasRoom ? TURN_END.late : TURN_END.full;
  }

  private report(
    {team, tokens}: TurnWait,
    end: TurnEnd,
    beganMs: number,
    {inMs, isLocal}: HostTurn,
  ): void {
    const waitedMs = this.clock.now() - beganMs;
    const ended = {team, tokens, end, waitedMs, turnInMs: inMs, isLocal};
    this.observer.turnEnded(ended);
  }
}
