/** Watches whether a process outlives an answer. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {Duplex} from 'node:stream';
import {Clock} from '../time/clock.js';
import {Listener} from './listening_check.js';
import {wasReset} from './reset_check.js';

/**
 * Time in which a killed process has closed all its sockets, in milliseconds.
 * The operating system closes them one after the other.
 */
export const CLOSE_TIME_MS = 50;

/** Time for which the connection to a process that may not be asked has to stand. */
const STANDING_TIME_MS = 250;

/** What a watch has found out. */
export const WATCH_RESULT = {
  /** The process has read a request after the answer, and has reacted. */
  outlived: 'outlived',
  /** The process may not be asked; its connection still stands. */
  stands: 'stands',
  /** The watched connection ended with the answer, or before. */
  endedTogether: 'ended-together',
  /** No connection was established. */
  unwatched: 'unwatched',
  /** The process did not reply in time. */
  silent: 'silent',
  /** Another process has replied. */
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
  /**
   * Finds out whether the process outlives an answer that has just ended.
   *
   * @param timeoutMs - time limit for a reply of the process.
   */
  abstract check(timeoutMs: number): Promise<WatchResult>;

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
 * @returns the connection; undefined if that fails.
 */
export function openConnection(
  listener: Listener,
): Promise<Socket | undefined> {
  const socket = connect(listener);
  return new Promise(resolve => {
    socket.once('connect', () => resolve(socket));
    socket.on('error', () => resolve(undefined));
  });
}

/** Dependencies of a {@link ConnectionWatch}. */
export interface ConnectionWatchParts {
  clock: Clock;
  /** Opens a connection; undefined if that fails. */
  open: () => Promise<Duplex | undefined>;
  /** Returns the request to send to the process; undefined if none may be sent. */
  ping: () => string | undefined;
}

/** Status of a process for which a request was not meant. */
const MISDIRECTED = /^HTTP\/1\.\d 421 /;

/**
 * Watches a process through a connection of its own, which the process has
 * accepted while it still wrote the answer. Only that process replies on it.
 */
export class ConnectionWatch extends ProcessWatch {
  private readonly closing = new AbortController();
  private readonly shown = new AbortController();
  private connection: Duplex | undefined;
  private hasEnded = false;
  /** Whether the connection was closed in order, with all that was sent read. */
  private wasClosed = false;
  private received = '';

  /** @param parts - see {@link ConnectionWatchParts}. */
  constructor(private readonly parts: ConnectionWatchParts) {
    super();
    void this.connect();
  }

  override async check(timeoutMs: number): Promise<WatchResult> {
    const {clock, ping} = this.parts;
    // A short answer may end while the connection is set up.
    await clock.sleep(CLOSE_TIME_MS, this.closing.signal);
    if (this.connection === undefined) return WATCH_RESULT.unwatched;
    if (this.hasEnded) return WATCH_RESULT.endedTogether;
    const request = ping();
    if (request === undefined) return this.checkStanding();
    this.connection.write(request);
    await clock.sleep(timeoutMs, this.shown.signal);
    if (MISDIRECTED.test(this.received)) return WATCH_RESULT.otherProcess;
    // A process that ends without having read the request resets the connection.
    const hasReacted = this.received !== '' || this.wasClosed;
    return hasReacted ? WATCH_RESULT.outlived : WATCH_RESULT.silent;
  }

  override close(): void {
    this.closing.abort();
    this.connection?.destroy();
  }

  private async checkStanding(): Promise<WatchResult> {
    const waitMs = STANDING_TIME_MS - CLOSE_TIME_MS;
    await this.parts.clock.sleep(waitMs, this.shown.signal);
    return this.hasEnded ? WATCH_RESULT.endedTogether : WATCH_RESULT.stands;
  }

  private async connect(): Promise<void> {
    const connection = await this.parts.open();
    if (connection === undefined) return;
    if (this.closing.signal.aborted) {
      connection.destroy();
      return;
    }
    this.connection = connection;
    const end = () => {
      this.hasEnded = true;
      this.shown.abort();
    };
    connection.on('end', () => {
      const isReset = connection instanceof Socket && wasReset(connection);
      this.wasClosed = !isReset;
      end();
    });
    connection.on('error', end);
    connection.on('close', end);
    connection.on('data', (bytes: Buffer) => {
      this.received ||= bytes.toString('latin1');
      this.shown.abort();
    });
  }
}
