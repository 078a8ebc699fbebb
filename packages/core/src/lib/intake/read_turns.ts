/** Shares the turns of the event loop among the connections of callers. @packageDocumentation */

import {Socket} from 'node:net';
import {ConnectionReads} from './connection_reads.js';

/**
 * Work that connections of callers may cause in one turn of the event loop, in
 * chunks; it takes a few milliseconds. Beyond it, no other connection is read in
 * this turn, so that the calls of the host itself go on.
 */
const MAX_TURN_WORK = 2_048;

/** Work up to which a connection does not have to wait after a full turn. */
const SMALL_WORK = 128;

/** Bytes that take as long as a chunk. */
const BYTES_PER_WORK = 4_096;

/** Work of a request, beside that of its body. */
const REQUEST_WORK = 32;

/** New connections that are read in one turn after a full one. */
const NEW_PER_TURN = 2;

/** A connection of a caller. */
interface TurnState {
  reads: ConnectionReads;
  /** Whether it has brought a whole request. */
  isProven: boolean;
  /** Work that it has caused in this turn. */
  turnWork: number;
}

/**
 * Bounds what connections bring in one turn of the event loop. A turn that brought
 * too much is followed by as long a time for everything else; then the connections
 * that have not brought a whole request are read in few turns each, the newest
 * first, and those that caused the work one after another.
 */
export class ReadTurns {
  private readonly connections = new Map<Socket, TurnState>();
  /** Held connections that have caused little work, the newest last. */
  private readonly fresh = new Set<Socket>();
  /** Held connections, with the work that each caused when it was read. */
  private readonly busy = new Map<Socket, number>();
  private totalWork = 0;
  private turnStartMs = 0;
  private isFull = false;
  private isScheduled = false;
  /** Whether the last full turn was one of new connections. */
  private wereFreshLast = false;

  /**
   * Adds a connection until it closes.
   *
   * @param socket - the connection.
   * @param isProven - whether it counts as one that has brought a request.
   */
  add(socket: Socket, isProven = false): void {
    const reads = ConnectionReads.of(socket);
    const state = {reads, isProven, turnWork: 0};
    this.connections.set(socket, state);
    if (this.isPressed && !isProven) this.holdFresh(socket, state);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.fresh.delete(socket);
      this.busy.delete(socket);
    });
  }

  /** Records that a connection has brought the head of a request. */
  recordRequest(socket: Socket): void {
    this.record(socket, REQUEST_WORK);
  }

  /** Records a chunk of a body. */
  recordChunk(socket: Socket, bytes: number): void {
    this.record(socket, 1 + bytes / BYTES_PER_WORK);
  }

  /** Records that a connection has brought a whole request. */
  recordWhole(socket: Socket): void {
    const state = this.connections.get(socket);
    if (state !== undefined) state.isProven = true;
  }

  private get isPressed(): boolean {
    return this.isFull || this.busy.size > 0 || this.fresh.size > 0;
  }

  private record(socket: Socket, work: number): void {
    if (this.totalWork === 0) this.turnStartMs = performance.now();
    this.totalWork += work;
    const state = this.connections.get(socket);
    if (state !== undefined) state.turnWork += work;
    if (!this.isFull && this.totalWork >= MAX_TURN_WORK) {
      this.isFull = true;
      for (const {reads} of this.connections.values()) reads.hold(this);
    }
    if (!this.isScheduled) this.schedule(0);
  }

  private schedule(delayMs: number): void {
    this.isScheduled = true;
    if (delayMs === 0) setImmediate(() => this.endTurn());
    else setTimeout(() => this.releaseSome(), delayMs);
  }

  private endTurn(): void {
    this.isScheduled = false;
    this.totalWork = 0;
    if (!this.isFull) {
      for (const state of this.connections.values()) state.turnWork = 0;
      if (this.isPressed) this.releaseSome();
      return;
    }
    this.isFull = false;
    for (const [socket, state] of this.connections) this.sortIn(socket, state);
    // A single connection needs no time for others.
    const isAlone = this.busy.size + this.fresh.size <= 1;
    const turnMs = Math.max(1, performance.now() - this.turnStartMs);
    this.schedule(isAlone ? 0 : turnMs);
  }

  /** Decides after a full turn whether and where a connection has to wait. */
  private sortIn(socket: Socket, state: TurnState): void {
    const {isProven, reads, turnWork} = state;
    state.turnWork = 0;
    if (turnWork > SMALL_WORK) {
      this.busy.delete(socket);
      this.fresh.delete(socket);
      this.busy.set(socket, turnWork);
    } else if (this.busy.has(socket)) {
      return;
    } else if (isProven) {
      reads.release(this);
    } else {
      this.holdFresh(socket, state);
    }
  }

  private holdFresh(socket: Socket, {reads}: TurnState): void {
    reads.hold(this);
    this.fresh.add(socket);
  }

  /** Lets the newest connections be read, or those that waited longest, by turns. */
  private releaseSome(): void {
    this.isScheduled = false;
    const isBusyNext = this.wereFreshLast && this.busy.size > 0;
    if (this.fresh.size > 0 && !isBusyNext) this.releaseFresh();
    else this.releaseBusy();
    if (this.isPressed) this.schedule(0);
  }

  private releaseFresh(): void {
    this.wereFreshLast = true;
    // The operating system reports them in this order.
    for (const socket of [...this.fresh].slice(-NEW_PER_TURN).reverse())
      this.release(socket);
  }

  private releaseBusy(): void {
    this.wereFreshLast = false;
    let expectedWork = 0;
    for (const [socket, work] of this.busy) {
      if (expectedWork > 0 && expectedWork + work > MAX_TURN_WORK) return;
      expectedWork += work;
      this.release(socket);
    }
  }

  private release(socket: Socket): void {
    this.fresh.delete(socket);
    this.busy.delete(socket);
    this.connections.get(socket)?.reads.release(this);
  }
}

/** The event loop is one for the process, and so are its turns. */
export const readTurns = new ReadTurns();
