/** Watches whether a process outlives an answer. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {Duplex} from 'node:stream';
import {Clock} from '../time/clock.js';
import {Listener} from './listening_check.js';

/**
 * Time in which a killed process has closed all its sockets, in milliseconds.
 * The operating system closes them one after the other.
 */
export const CLOSE_TIME_MS = 50;

/** Time limit for a connection, and pause before the next one is tried. */
const CONNECT_TIMEOUT_MS = 700;
const RECONNECT_PAUSE_MS = 250;

/** Longest head of a reply. */
const MAX_HEAD_LENGTH = 16_384;

const HEAD_END = '\r\n\r\n';

/** What a watch has found out. */
export const WATCH_RESULT = {
  /** The process has replied to a request that was sent after the answer. */
  outlived: 'outlived',
  /** The watched connection ended with the answer. */
  endedTogether: 'ended-together',
  /** No connection was established in time. */
  unwatched: 'unwatched',
  /** The process may not be asked. */
  unasked: 'unasked',
  /** The process did not reply in time. */
  silent: 'silent',
  /** The reply is not one of the process. */
  otherProcess: 'other-process',
} as const;

/** One of {@link WATCH_RESULT}. */
export type WatchResult = (typeof WATCH_RESULT)[keyof typeof WATCH_RESULT];

/**
 * Watches a process. A watch that began before an answer ended tells whether the
 * process has outlived the end: the end of the answer's connection alone says
 * nothing, as the operating system closes the connections of a killed process in
 * order.
 */
export abstract class ProcessWatch {
  /** Records that the process has sent a part of the answer. */
  abstract recordReceived(): void;

  /**
   * Finds out whether the process outlives the answer, which has just ended.
   *
   * @param timeoutMs - time limit.
   * @param signal - ends the check early.
   */
  abstract check(timeoutMs: number, signal: AbortSignal): Promise<WatchResult>;

  /** Ends the watch. */
  abstract close(): void;
}

/** A request that runs nothing, as the bytes of HTTP/1.1. */
export function pingRequest(
  method: string,
  path: string,
  headers: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/**
 * Connects to a process.
 *
 * @param listener - where it listens.
 * @param signal - gives the connection up.
 * @returns the connection; undefined if that fails.
 */
export function openConnection(
  listener: Listener,
  signal: AbortSignal,
): Promise<Socket | undefined> {
  const socket = connect(listener);
  return new Promise(resolve => {
    const giveUp = () => {
      socket.destroy();
      resolve(undefined);
    };
    const timer = setTimeout(giveUp, CONNECT_TIMEOUT_MS);
    signal.addEventListener('abort', giveUp, {once: true});
    socket.once('connect', () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', giveUp);
      resolve(socket);
    });
    socket.on('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
  });
}

/** A request that runs nothing, and what tells the replies to it. */
export interface Ping {
  /** The bytes of the request. */
  request: string;
  /** Returns whether a reply with a status and a head is one of the process. */
  isReply: (status: number, head: string) => boolean;
}

/** Dependencies of a {@link ConnectionWatch}. */
export interface ConnectionWatchParts {
  clock: Clock;
  /** Opens a connection; undefined if that fails. */
  open: (signal: AbortSignal) => Promise<Duplex | undefined>;
  /** Returns the request to the process; undefined if none may be sent. */
  ping: () => Ping | undefined;
}

const STATUS_LINE = /^HTTP\/1\.\d (\d{3})/;

/** A connection to a watched process. */
class WatchedConnection {
  /** Whether the answer has received anything since it stands. */
  isOlder: boolean;
  hasEnded = false;
  private received = '';
  private readonly changed = new AbortController();

  /**
   * @param stream - the connection.
   * @param isFirst - whether it was opened with the answer.
   * @param onEnd - called when it ends.
   */
  constructor(
    private readonly stream: Duplex,
    isFirst: boolean,
    onEnd: () => void,
  ) {
    this.isOlder = isFirst;
    const end = () => {
      if (this.hasEnded) return;
      this.hasEnded = true;
      this.changed.abort();
      onEnd();
    };
    stream.on('error', end);
    stream.on('end', end);
    stream.on('close', end);
    stream.on('data', (bytes: Buffer) => {
      if (this.received.length < MAX_HEAD_LENGTH)
        this.received += bytes.toString('latin1');
      if (this.received.includes(HEAD_END)) this.changed.abort();
    });
  }

  /** Sends a request, and waits for the head of the reply. */
  async ask(
    {request, isReply}: Ping,
    sleep: (signal: AbortSignal) => Promise<void>,
  ): Promise<WatchResult> {
    // A process may say something before it closes an idle connection.
    if (this.received !== '') return WATCH_RESULT.unwatched;
    this.stream.write(request);
    await sleep(this.changed.signal);
    const headEnd = this.received.indexOf(HEAD_END);
    if (headEnd < 0) return WATCH_RESULT.silent;
    const head = this.received.slice(0, headEnd);
    const status = Number(STATUS_LINE.exec(head)?.[1]);
    const isOwn = isReply(status, head);
    return isOwn ? WATCH_RESULT.outlived : WATCH_RESULT.otherProcess;
  }

  close(): void {
    this.stream.destroy();
  }
}

/**
 * Watches a process through a connection of its own, which the process has
 * accepted while it still wrote the answer. Only that process replies on it. A
 * connection that a process closes, as it is idle, is replaced; the next one
 * counts once the answer has received more.
 */
export class ConnectionWatch extends ProcessWatch {
  private readonly closing = new AbortController();
  private connection: WatchedConnection | undefined;
  private isChecking = false;

  /** @param parts - see {@link ConnectionWatchParts}. */
  constructor(private readonly parts: ConnectionWatchParts) {
    super();
    void this.keepOpen();
  }

  override recordReceived(): void {
    if (this.connection !== undefined) this.connection.isOlder = true;
  }

  override async check(
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<WatchResult> {
    const {clock, ping} = this.parts;
    this.isChecking = true;
    const limitMs = clock.now() + timeoutMs;
    // A short answer may end while the connection is set up.
    await clock.sleep(Math.min(CLOSE_TIME_MS, timeoutMs), signal);
    const {connection} = this;
    if (connection?.isOlder !== true) return WATCH_RESULT.unwatched;
    if (connection.hasEnded) return WATCH_RESULT.endedTogether;
    const request = ping();
    if (request === undefined) return WATCH_RESULT.unasked;
    return connection.ask(request, replied =>
      clock.sleep(limitMs - clock.now(), AbortSignal.any([replied, signal])),
    );
  }

  override close(): void {
    this.closing.abort();
    this.connection?.close();
  }

  /** Opens connections one after the other until the answer ends. */
  private async keepOpen(): Promise<void> {
    const {clock, open} = this.parts;
    const {signal} = this.closing;
    let isFirst = true;
    while (!signal.aborted && !this.isChecking) {
      const stream = await open(signal);
      if (signal.aborted) stream?.destroy();
      else if (stream !== undefined) await this.follow(stream, isFirst);
      isFirst = false;
      if (!signal.aborted && !this.isChecking)
        await clock.sleep(RECONNECT_PAUSE_MS, signal);
    }
  }

  private follow(stream: Duplex, isFirst: boolean): Promise<void> {
    return new Promise(resolve => {
      this.connection = new WatchedConnection(stream, isFirst, resolve);
    });
  }
}
