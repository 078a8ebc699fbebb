/** Bytes of a worker's answer. @packageDocumentation */

const HEADER_PREFIX = 'x-fuchsiacleat-';

/** How the body of an answer is delimited. */
export const FRAMING = {
  /** By its length. */
  length: 'length',
  chunks: 'chunks',
  /** In chunks, and the worker closes the connection. */
  closingChunks: 'closing-chunks',
  /** By the end of the connection only. */
  none: 'none',
  /** The same, which a `connection: close` announces. */
  closing: 'closing',
} as const;

/** One of {@link FRAMING}. */
export type Framing = (typeof FRAMING)[keyof typeof FRAMING];

/** Headers that delimit a body; those of a length hold the length, too. */
const FRAMING_HEADERS: Record<Framing, string> = {
  [FRAMING.length]: 'content-length: ',
  [FRAMING.chunks]: 'transfer-encoding: chunked',
  [FRAMING.closingChunks]: 'transfer-encoding: chunked\r\nconnection: close',
  [FRAMING.none]: '',
  [FRAMING.closing]: 'connection: close',
};

/** End of a body in chunks. */
export const LAST_CHUNK = '0\r\n\r\n';

const HTTP_STATUS = {ok: 200} as const;
const STATUS_DIGITS = 3;

/** An answer that a worker has for a request. */
export interface RawAnswer {
  /** Id of the request. */
  id: string;
  /** Signature of the worker, another one for each run. */
  signature: string;
  status: number;
  reason: string;
  body: Buffer;
  framing: Framing;
  /** Size of the chunks, in bytes. */
  chunkBytes: number;
  /** Headers ahead of the id, as they are written. */
  firstHeaders: string[];
  /** Further headers. */
  headers: string[];
}

/** Returns a successful answer with a length, unless stated otherwise. */
export function rawAnswer(
  parts: Pick<RawAnswer, 'id' | 'signature' | 'body'> & Partial<RawAnswer>,
): RawAnswer {
  return {
    status: HTTP_STATUS.ok,
    reason: 'OK',
    framing: FRAMING.length,
    chunkBytes: 1_000,
    firstHeaders: [],
    headers: [],
    ...parts,
  };
}

/** Returns whether the end of the connection is all that delimits a body. */
export function isCloseDelimited({framing}: RawAnswer): boolean {
  return framing === FRAMING.none || framing === FRAMING.closing;
}

/** Returns whether the worker closes the connection after the answer. */
export function closesConnection(answer: RawAnswer): boolean {
  return isCloseDelimited(answer) || answer.framing === FRAMING.closingChunks;
}

/** Returns the head of an answer, with the empty line. */
export function encodeHead(answer: RawAnswer): Buffer {
  const {body, framing, id, reason, signature, status} = answer;
  const length = framing === FRAMING.length ? body.length : '';
  const framingHeader = `${FRAMING_HEADERS[framing]}${length}`;
  const lines = [
    `HTTP/1.1 ${String(status).padStart(STATUS_DIGITS, '0')} ${reason}`,
    ...answer.firstHeaders,
    `${HEADER_PREFIX}attempt-id: ${id}`,
    `${HEADER_PREFIX}server-stamp: ${signature}`,
    ...answer.headers,
    ...(framingHeader === '' ? [] : [framingHeader]),
  ];
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
}

/** Returns a part of a body as chunks, without the last one. */
export function encodeChunks(bytes: Buffer, chunkBytes: number): Buffer {
  const parts: Buffer[] = [];
  for (let i = 0; i < bytes.length; i += chunkBytes) {
    const chunk = bytes.subarray(i, i + chunkBytes);
    const size = Buffer.from(`${chunk.length.toString(16)}\r\n`);
    parts.push(size, chunk, Buffer.from('\r\n'));
  }
  return Buffer.concat(parts);
}

/** Returns the whole answer as its bytes. */
export function encodeAnswer(answer: RawAnswer): Buffer {
  const {body, chunkBytes, framing} = answer;
  const isChunked =
    framing === FRAMING.chunks || framing === FRAMING.closingChunks;
  const framed = isChunked
    ? [encodeChunks(body, chunkBytes), Buffer.from(LAST_CHUNK)]
    : [body];
  return Buffer.concat([encodeHead(answer), ...framed]);
}
