/** Faults of a worker's responses. @packageDocumentation */

const HEADER_PREFIX = 'x-fuchsiacleat-';

/** Faults that a worker can inject into the response to one request. */
export const FAULTY_ANSWER = {
  /** Refuses the request as not run. */
  refuse: 'refuse',
  /** Runs the request and closes the connection without a response. */
  lose: 'lose',
  /** Runs the request and never responds. */
  mute: 'mute',
  /** Closes the connection halfway through the response body. */
  cut: 'cut',
  /** Sends no content length; the end of the connection ends the response. */
  unframed: 'unframed',
  /** Sends no content length and closes the connection after half the body. */
  unframedShort: 'unframed-short',
  /** Sends no content length and closes the connection after some whole events. */
  unframedEvents: 'unframed-events',
  /** Responds with the id of another request. */
  otherId: 'other-id',
  /** Responds without the server's stamp, as an unrelated process would. */
  unsigned: 'unsigned',
  /** Refuses the request as not run, with a `retry-after` header. */
  refuseFor: 'refuse-for',
  /** Responds, then sends a second copy on the same connection. */
  twice: 'twice',
  /** Refuses the request as not run, with a body that never ends. */
  endlessRefusal: 'endless-refusal',
  /** Sends a response head that never ends. */
  endlessHead: 'endless-head',
  /** Sends interim (1xx) responses without end. */
  endlessInterim: 'endless-interim',
  /** Sends a chunk whose extension never ends. */
  endlessExtension: 'endless-extension',
  /** Sends trailers without end. */
  endlessTrailer: 'endless-trailer',
} as const;

/** One of {@link FAULTY_ANSWER}. */
export type FaultyAnswer = (typeof FAULTY_ANSWER)[keyof typeof FAULTY_ANSWER];

/** `retry-after` value of {@link FAULTY_ANSWER.refuseFor}, in seconds. */
export const RETRY_AFTER_S = 1.5;

/** Start of each endless response and the unit that it repeats. */
export const ENDLESS_ANSWERS: Partial<
  Record<FaultyAnswer, {start: string; unit: string}>
> = {
  [FAULTY_ANSWER.endlessRefusal]: {
    start:
      `HTTP/1.1 503 Busy\r\n${HEADER_PREFIX}not-executed: 1\r\n` +
      'transfer-encoding: chunked\r\n\r\n',
    unit: `400\r\n${'x'.repeat(1_024)}\r\n`,
  },
  [FAULTY_ANSWER.endlessHead]: {
    start: 'HTTP/1.1 200 OK\r\n',
    unit: `x-more: ${'x'.repeat(1_000)}\r\n`,
  },
  [FAULTY_ANSWER.endlessInterim]: {
    start: '',
    unit: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(32),
  },
  [FAULTY_ANSWER.endlessExtension]: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
    unit: 'x'.repeat(1_024),
  },
  [FAULTY_ANSWER.endlessTrailer]: {
    start:
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
      '2\r\nok\r\n0\r\n',
    unit: `x-more: ${'x'.repeat(1_000)}\r\n`,
  },
};
