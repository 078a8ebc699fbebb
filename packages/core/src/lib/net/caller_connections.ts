/** Connections of callers. @packageDocumentation */

import {Server} from 'node:http';
import {Socket} from 'node:net';
import {CallerMessage} from '../intake/caller_message.js';
import {ConnectionHolding} from '../intake/connection_holding.js';
import {MemoryAccount} from '../intake/memory_account.js';
import {readTurns} from '../intake/read_turns.js';
import {Clock} from '../time/clock.js';
import {whenConnectionsRead} from '../time/connections_read.js';

/**
 * Time without a byte after which a connection is closed that has brought no
 * request yet, or a part of one, while idle connections are closed.
 */
const MAX_STALL_MS = 500;

/** Longest time for which connections are closed without reading the others. */
const MAX_CLOSE_MS = 20;

/** Interval of the checks what connections hold, in milliseconds. */
const MEMORY_CHECK_INTERVAL_MS = 100;

/** Share of the allowed connections that are closed when there are too many. */
const SHED_SHARE = 0.02;

/** State of a connection. */
interface ConnectionState {
  /** Bytes that had been received at the last check, and when they changed. */
  checkedBytes: number;
  changedMs: number;
  /** When the connection was opened, or the last request was received. */
  usedMs: number;
  /** Requests whose response has not been passed on completely. */
  requests: number;
  /** Those of them that have been received completely. */
  readRequests: number;
  /** Bytes that had been received when the last request ended. */
  readBytes: number;
  /** Whether nothing more can be read from the connection. */
  isUnreadable: boolean;
  /** Counts what it holds; undefined if nothing limits that. */
  holding: ConnectionHolding | undefined;
}

/** What limits the memory of heads and of requests that wait. */
interface MemoryLimit {
  account: MemoryAccount;
  clock: Clock;
  onEvicted: () => void;
}

/**
 * Closes connections of callers that are idle: every response was passed on to
 * the operating system completely, and no further request has begun to arrive.
 * What a connection has received is read before it is closed.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private accepted = 0;
  private maxCount = Infinity;
  private onShed: (count: number) => void = () => {};
  private memoryLimit: MemoryLimit | undefined;
  private isChecking = false;
  private isClosing = false;
  private isSweeping = false;

  /** Number of open connections. */
  get count(): number {
    return this.states.size;
  }

  /**
   * Records the connections of a server, and closes the idle ones in place of
   * Node.js, whose own handling closes connections that it has not read and
   * discards answers that are still sent.
   *
   * @param server - the server, which does not listen yet.
   */
  follow(server: Server): void {
    server.on('connection', socket => this.add(socket));
    server.on('timeout', socket => void this.closeExpired(socket));
    // The server's close() calls this.
    server.closeIdleConnections = () => this.closeIdle();
  }

  /**
   * Waits until no connection is waiting to be accepted. The server can close
   * its listener then.
   *
   * @param clock - measures the time.
   * @param endMs - clock time until which this waits at most.
   */
  async acceptWaiting(clock: Clock, endMs: number): Promise<void> {
    let isEmpty = false;
    // A turn of the event loop accepts one connection only.
    while (!isEmpty && clock.now() < endMs) {
      const {accepted} = this;
      const isRead = await whenConnectionsRead();
      isEmpty = isRead && this.accepted === accepted;
    }
  }

  /**
   * Limits the number of connections. Beyond it, those are closed that have been
   * without a request that was received completely for the longest time.
   *
   * @param maxCount - largest number of connections.
   * @param onShed - called with the number of connections that were closed.
   */
  limitCount(maxCount: number, onShed: (count: number) => void): void {
    this.maxCount = maxCount;
    this.onShed = onShed;
  }

  /**
   * Limits what unfinished heads and requests that wait for earlier ones hold.
   * Connections that hold most are closed beyond it.
   *
   * @param account - counts the bytes.
   * @param clock - times the checks.
   * @param onEvicted - called for each connection that is closed for its memory.
   */
  limitMemory(
    account: MemoryAccount,
    clock: Clock,
    onEvicted: () => void,
  ): void {
    this.memoryLimit = {account, clock, onEvicted};
  }

  private scheduleCheck({clock}: MemoryLimit): void {
    if (this.isChecking || this.states.size === 0) return;
    this.isChecking = true;
    clock.after(MEMORY_CHECK_INTERVAL_MS, () => {
      this.isChecking = false;
      for (const {holding} of this.states.values()) holding?.check();
      if (this.memoryLimit) this.scheduleCheck(this.memoryLimit);
    });
  }

  private openHolding(socket: Socket): ConnectionHolding | undefined {
    if (this.memoryLimit === undefined) return undefined;
    const {account, onEvicted} = this.memoryLimit;
    return new ConnectionHolding(socket, account, onEvicted);
  }

  /** Closes a few connections at once, as each search reads all of them. */
  private shed(): void {
    const unused = [...this.states].filter(
      ([, {readRequests}]) => readRequests === 0,
    );
    unused.sort(([, a], [, b]) => a.usedMs - b.usedMs);
    const count = Math.ceil(this.maxCount * SHED_SHARE);
    const shed = unused.slice(0, count);
    for (const [socket] of shed) socket.destroy();
    for (const [socket] of shed) this.states.delete(socket);
    this.onShed(shed.length);
  }

  private add(socket: Socket): void {
    this.accepted += 1;
    if (this.states.size >= this.maxCount) this.shed();
    if (this.states.size >= this.maxCount) {
      // Each connection has a request that may be running.
      socket.destroy();
      this.onShed(1);
      return;
    }
    this.states.set(socket, {
      checkedBytes: 0,
      changedMs: performance.now(),
      usedMs: performance.now(),
      requests: 0,
      readRequests: 0,
      readBytes: 0,
      isUnreadable: false,
      holding: this.openHolding(socket),
    });
    if (this.memoryLimit) this.scheduleCheck(this.memoryLimit);
    readTurns.add(socket);
    // Each pipelined request listens for the end of the connection.
    socket.setMaxListeners(0);
    socket.once('close', () => this.states.delete(socket));
  }

  /** Returns the number of requests of a connection that are unanswered. */
  requestCount(socket: Socket): number {
    return this.states.get(socket)?.requests ?? 0;
  }

  /** Records that the head of a request has arrived. */
  beginRequest(req: CallerMessage): void {
    readTurns.recordRequest(req.socket);
    const state = this.states.get(req.socket);
    if (state === undefined) return;
    state.requests += 1;
    state.holding?.beginRequest(req);
  }

  /** Records that no more of a request is to be received. */
  recordRead(req: CallerMessage): void {
    const {socket} = req;
    const state = this.states.get(socket);
    if (state === undefined) return;
    state.holding?.recordRead(req);
    readTurns.recordWhole(socket);
    state.readRequests += 1;
    state.readBytes = socket.bytesRead;
    state.usedMs = performance.now();
  }

  /** Records that the response to a request has been passed on, or ended. */
  endRequest(req: CallerMessage): void {
    const {socket} = req;
    const state = this.states.get(socket);
    if (state === undefined) return;
    state.holding?.endRequest(req);
    state.requests -= 1;
    state.readRequests -= 1;
    if (state.isUnreadable) closeIfIdle(socket, state);
    else if (this.isClosing) void this.sweep();
  }

  /**
   * Closes a connection from which no further request can be read, once the
   * requests that were received completely have been answered.
   *
   * @param socket - the connection.
   * @returns whether there are such requests.
   */
  closeAfterAnswers(socket: Socket): boolean {
    const state = this.states.get(socket);
    if (state === undefined || state.readRequests === 0) return false;
    state.isUnreadable = true;
    return true;
  }

  /**
   * Closes all connections. Those with an answer that has not been passed on
   * completely are reset, as an answer without a length would look complete.
   */
  closeAll(): void {
    for (const [socket, {requests}] of this.states) {
      if (requests > 0) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  /** Closes the idle connections, and from now on each as it falls idle. */
  closeIdle(): void {
    this.isClosing = true;
    void this.sweep();
  }

  /**
   * Closes a connection that has been idle for its time limit, unless bytes have
   * arrived meanwhile; these start the time again.
   */
  private async closeExpired(socket: Socket): Promise<void> {
    const {bytesRead} = socket;
    const isRead = await whenConnectionsRead();
    const state = this.states.get(socket);
    if (state === undefined || state.requests > 0) return;
    if (isRead && socket.bytesRead === bytesRead) socket.destroy();
    else socket.setTimeout(socket.timeout ?? 0);
  }

  private async sweep(): Promise<void> {
    if (this.isSweeping) return;
    this.isSweeping = true;
    while (await whenConnectionsRead()) {
      if (this.closeUntil(performance.now() + MAX_CLOSE_MS)) break;
    }
    this.isSweeping = false;
  }

  /**
   * Closes idle connections until a time.
   *
   * @returns whether all were checked.
   */
  private closeUntil(endMs: number): boolean {
    for (const [socket, state] of this.states) {
      if (performance.now() > endMs) return false;
      closeIfIdle(socket, state);
    }
    return true;
  }
}

function closeIfIdle(socket: Socket, state: ConnectionState): void {
  if (state.readRequests > 0) return;
  if (state.isUnreadable) socket.destroy();
  if (state.requests > 0) return;
  const {bytesRead} = socket;
  const nowMs = performance.now();
  if (bytesRead > state.checkedBytes) {
    state.checkedBytes = bytesRead;
    state.changedMs = nowMs;
  }
  const isBetweenRequests = bytesRead > 0 && bytesRead <= state.readBytes;
  if (!isBetweenRequests && nowMs - state.changedMs < MAX_STALL_MS) return;
  socket.destroy();
}
