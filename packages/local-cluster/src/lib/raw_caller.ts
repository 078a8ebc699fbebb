/** Caller on a connection of its own. @packageDocumentation */

import {connect, Socket} from 'node:net';
import {HOST_NAME, TEAM_KEY} from './platform_world.js';

const POLL_MS = 10;
const HEAD_END = '\r\n\r\n';
const CHUNKED_END = '\r\n0\r\n\r\n';

/** Request of a {@link RawCaller}. */
export interface RawRequest {
  path: string;
  id: string;
  body?: string;
  model?: string;
  /** Version of HTTP; 1.1 unless stated otherwise. */
  version?: '1.0' | '1.1';
}

/** Caller connection that records the received text and how it ended. */
export class RawCaller {
  text = '';
  isClosed = false;
  /** Code of the error that the connection ended with. */
  errorCode: string | undefined;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk => (this.text += chunk.toString('latin1')));
    socket.on('close', () => (this.isClosed = true));
    socket.on(
      'error',
      ({code}: NodeJS.ErrnoException) => (this.errorCode = code),
    );
  }

  /**
   * Connects to a host.
   *
   * @param url - base URL of its caller API.
   */
  static async open(url: string): Promise<RawCaller> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    await new Promise(resolve => socket.once('connect', resolve));
    return new RawCaller(socket);
  }

  /** Returns the head of a request. */
  static head({
    path,
    id,
    body = '',
    model,
    version = '1.1',
  }: RawRequest): string {
    const demand =
      model === undefined ? '' : `x-fuchsiacleat-model: ${model}\r\n`;
    return (
      `POST ${path} HTTP/${version}\r\nhost: ${HOST_NAME}\r\n` +
      `x-fuchsiacleat-attempt-id: ${id}\r\n${demand}` +
      `x-fuchsiacleat-deadline-ms: 4000\r\nx-fuchsiacleat-key: ${TEAM_KEY}\r\n` +
      `content-length: ${body.length}\r\n\r\n`
    );
  }

  /** Sends a request. */
  send(request: RawRequest): void {
    this.socket.write(RawCaller.head(request) + (request.body ?? ''));
  }

  /** Whether a complete answer is the last that was received. */
  get isAnswered(): boolean {
    const end = this.text.indexOf(HEAD_END);
    if (end < 0) return false;
    const length = /content-length: (\d+)/i.exec(this.text.slice(0, end));
    if (length === null) return this.text.endsWith(CHUNKED_END);
    return this.text.length - end - HEAD_END.length >= Number(length[1]);
  }

  /** Waits until the connection ends or a complete answer has come. */
  async waitForEnd(): Promise<void> {
    while (!this.isClosed && !this.isAnswered)
      await new Promise(done => setTimeout(done, POLL_MS));
  }
}
