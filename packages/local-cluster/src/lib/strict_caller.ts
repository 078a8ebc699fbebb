/** Caller that trusts the framing of answers only. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {RawCaller, RawRequest} from './raw_caller.js';

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) [^\r\n]*$/;
const CHUNK_SIZE = /^[0-9a-f]{1,8}$/i;
const FIRST_FINAL_STATUS = 200;
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** How an answer ended for its caller. */
export const ANSWER_END = {
  /** It is complete, as its framing says. */
  whole: 'whole',
  /** The connection was reset, or closed before the end of the answer. */
  broken: 'broken',
  /** The bytes are no answer. */
  malformed: 'malformed',
  /** It had not ended after the caller's time. */
  unfinished: 'unfinished',
} as const;

/** One of {@link ANSWER_END}. */
export type AnswerEnd = (typeof ANSWER_END)[keyof typeof ANSWER_END];

/** Answer as a caller received it. */
export interface ReceivedAnswer {
  /** 0 if no head was received. */
  status: number;
  /** Values by lowercase name, one for each line of the head. */
  headers: ReadonlyMap<string, readonly string[]>;
  body: Buffer;
  /** Whether the end of the connection is all that delimits the body. */
  isCloseDelimited: boolean;
  end: AnswerEnd;
}

/** How the connection of a caller ended. */
type ConnectionEnd = 'closed' | 'reset' | undefined;

/** Time that a caller waits for the end of an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 6_000;

/** Caller on a kept connection, with one request at a time. */
export class StrictCaller {
  private received: Buffer = Buffer.alloc(0);
  private connectionEnd: ConnectionEnd;
  private onChange = () => {};

  private constructor(private readonly socket: Socket) {
    socket.on('data', chunk => {
      this.received = Buffer.concat([this.received, chunk]);
      this.onChange();
    });
    socket.on('end', () => {
      // Node reports a reset that it finds together with the last bytes as the end.
      this.close(socket.remotePort === undefined ? 'reset' : 'closed');
    });
    socket.on('error', () => this.close('reset'));
    socket.on('close', () => this.close('closed'));
  }

  /**
   * Connects to a host.
   *
   * @param url - base URL of its caller API.
   */
  static async open(url: string): Promise<StrictCaller> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new StrictCaller(socket);
  }

  /** Whether the connection can carry another request. */
  get isOpen(): boolean {
    return this.connectionEnd === undefined;
  }

  /** Bytes that were received while no request was waiting. */
  get surplus(): Buffer {
    return this.received;
  }

  /**
   * Sends a request and waits for the end of its answer.
   *
   * @param request - the request.
   * @param unreadMs - time for which the caller does not read, in milliseconds.
   */
  async call(request: RawRequest, unreadMs = 0): Promise<ReceivedAnswer> {
    const {socket} = this;
    socket.write(RawCaller.head(request) + (request.body ?? ''));
    if (unreadMs > 0) {
      socket.pause();
      await sleep(unreadMs);
      socket.resume();
    }
    const endMs = performance.now() + ANSWER_TIMEOUT_MS;
    for (;;) {
      const {answer, usedBytes} = parse(this.received, this.connectionEnd);
      const isOver = answer.end !== ANSWER_END.unfinished;
      if (isOver || performance.now() > endMs) {
        this.received = this.received.subarray(usedBytes);
        return answer;
      }
      await this.changed(endMs);
    }
  }

  /** Closes the connection. */
  destroy(): void {
    this.socket.destroy();
  }

  private close(end: ConnectionEnd): void {
    this.connectionEnd ??= end;
    this.onChange();
  }

  private changed(untilMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, untilMs - performance.now() + 1);
      this.onChange = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

interface ParsedAnswer {
  answer: ReceivedAnswer;
  usedBytes: number;
}

/** Reads the first final answer in the bytes. */
function parse(bytes: Buffer, connectionEnd: ConnectionEnd): ParsedAnswer {
  const headEnd = bytes.indexOf(HEAD_END);
  const head = {status: 0, headers: new Map<string, string[]>()};
  const build = (
    end: AnswerEnd,
    body: Buffer = Buffer.alloc(0),
    usedBytes = bytes.length,
    isCloseDelimited = false,
  ) => ({answer: {...head, body, isCloseDelimited, end}, usedBytes});
  const unfinished = connectionEnd ? ANSWER_END.broken : ANSWER_END.unfinished;
  if (headEnd < 0) return build(unfinished);
  const [statusLine, ...lines] = bytes
    .subarray(0, headEnd)
    .toString('latin1')
    .split(LINE_END);
  const match = STATUS_LINE.exec(statusLine);
  if (match === null) return build(ANSWER_END.malformed);
  head.status = Number(match[1]);
  const start = headEnd + HEAD_END.length;
  if (head.status < FIRST_FINAL_STATUS) {
    const {answer, usedBytes} = parse(bytes.subarray(start), connectionEnd);
    return {answer, usedBytes: usedBytes + start};
  }
  for (const line of lines) {
    const colon = line.indexOf(':');
    if (colon <= 0) return build(ANSWER_END.malformed);
    const name = line.slice(0, colon).toLowerCase();
    const values = head.headers.get(name) ?? [];
    head.headers.set(name, [...values, line.slice(colon + 1).trim()]);
  }
  const rest = bytes.subarray(start);
  const lengths = head.headers.get('content-length') ?? [];
  const encodings = head.headers.get('transfer-encoding') ?? [];
  if (lengths.length + encodings.length > 1) return build(ANSWER_END.malformed);
  if (BODILESS_STATUSES.includes(head.status))
    return build(ANSWER_END.whole, undefined, start);
  if (encodings.length > 0) {
    const {body, usedBytes} = parseChunks(rest);
    if (usedBytes === 'malformed') return build(ANSWER_END.malformed, body);
    if (usedBytes === undefined) return build(unfinished, body);
    return build(ANSWER_END.whole, body, start + usedBytes);
  }
  if (lengths.length > 0) {
    const length = Number(lengths[0]);
    const body = rest.subarray(0, length);
    if (body.length < length) return build(unfinished, body);
    return build(ANSWER_END.whole, body, start + length);
  }
  const end =
    connectionEnd === 'closed'
      ? ANSWER_END.whole
      : connectionEnd === 'reset'
        ? ANSWER_END.broken
        : ANSWER_END.unfinished;
  return build(end, rest, bytes.length, true);
}

/** Reads a body in chunks; `usedBytes` is undefined before its end. */
function parseChunks(bytes: Buffer): {
  body: Buffer;
  usedBytes: number | 'malformed' | undefined;
} {
  const chunks: Buffer[] = [];
  let position = 0;
  let usedBytes: number | 'malformed' | undefined;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, position);
    if (lineEnd < 0) break;
    const size = bytes.subarray(position, lineEnd).toString('latin1');
    if (!CHUNK_SIZE.test(size)) {
      usedBytes = 'malformed';
      break;
    }
    const from = lineEnd + LINE_END.length;
    const to = from + parseInt(size, 16);
    chunks.push(bytes.subarray(from, to));
    const next = to + LINE_END.length;
    if (bytes.length < next) break;
    if (bytes.subarray(to, next).toString('latin1') !== LINE_END) {
      usedBytes = 'malformed';
      break;
    }
    if (to === from) {
      usedBytes = next;
      break;
    }
    position = next;
  }
  return {body: Buffer.concat(chunks), usedBytes};
}
