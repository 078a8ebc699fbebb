/** Random answers of a worker, some of them with a fault. @packageDocumentation */

import {Random} from '@fuchsiacleat/core';
import {
  AnswerScript,
  AnswerStep,
  FRAMING,
  LAST_CHUNK,
  RawAnswer,
  RawWorkerRequest,
  closesConnection,
  encodeAnswer,
  encodeChunks,
  encodeHead,
  isCloseDelimited,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {ROUTE_PATH} from '@fuchsiacleat/local-cluster';

/** Faults of answers. */
export const ANSWER_FAULT = {
  /** The connection is closed in order at any byte. */
  closed: 'closed',
  /** The connection is reset at any byte. */
  reset: 'reset',
  /** A second copy follows at once. */
  copyAtOnce: 'copy-at-once',
  /** A second copy follows some time later, between two answers. */
  copyLater: 'copy-later',
  /** A second copy precedes the next answer, behind its request. */
  copyDue: 'copy-due',
  /** The same with a copy that ends at any byte. */
  brokenCopyDue: 'broken-copy-due',
  /** Other bytes follow the answer. */
  surplus: 'surplus',
  /** Other bytes precede the next answer, behind its request. */
  surplusDue: 'surplus-due',
  /** The body goes on for long, and the connection is reset. */
  excess: 'excess',
  /** The length is that of a longer body, and the connection ends. */
  longerLength: 'longer-length',
  /** The head is sent well ahead of the body. */
  headAhead: 'head-ahead',
  /** Interim responses precede the answer. */
  interim: 'interim',
} as const;

/** One of {@link ANSWER_FAULT}. */
export type AnswerFault = (typeof ANSWER_FAULT)[keyof typeof ANSWER_FAULT];

/** Which answers workers give. */
export interface AnswerMix {
  /** Fraction of the answers with a fault. */
  faultFraction: number;
  faults: readonly AnswerFault[];
  /** Fraction of large bodies among answers to repeatable requests. */
  largeFraction: number;
}

/** All faults, and few large bodies. */
export const MIXED_ANSWERS: AnswerMix = {
  faultFraction: 0.25,
  faults: Object.values(ANSWER_FAULT),
  largeFraction: 0.05,
};

/** Number of events of each stream. */
export const STREAM_EVENTS = 12;

/** Header that marks a request as not run. */
export const NOT_RUN_HEADER = 'x-fuchsiacleat-not-executed: 1';

const EVENT_STREAM_HEADER = 'content-type: text/event-stream';
const SMALL_BYTES = {min: 1, max: 1_600} as const;
const MEDIUM_BYTES = {min: 1_600, max: 4_800} as const;
const LARGE_BYTES = {min: 100_000, max: 600_000} as const;
const EVENT_BYTES = {min: 1, max: 300} as const;
const MEDIUM_FRACTION = 0.1;
const ERROR_FRACTION = 0.04;
const REFUSAL_FRACTION = 0.04;

/** Sizes of chunks, in bytes. */
const CHUNK_BYTES = [1, 7, 100, 1_000, 16_384] as const;
const MIN_LARGE_CHUNK_BYTES = 1_000;

/** Bytes behind the end of an answer that goes on past it. */
const EXCESS_BYTES = 640_000;
const EXCESS_CHUNK_BYTES = 16_384;
const MAX_MISSING_BYTES = 2_000;

/** Times in milliseconds. */
const MAX_WORK_MS = 20;
const MAX_COPY_DELAY_MS = 900;
const HEAD_AHEAD_MS = 40;
const MAX_SEGMENT_PAUSE_MS = 3;
/** Lets a host read what was written before a reset. */
const RESET_DELAY_MS = 20;

const MAX_SEGMENTS = 4;

/** What may follow an answer: text, or an answer that names no request. */
const SURPLUS = [
  'x',
  '\r\n',
  'more text\r\n\r\n',
  'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore',
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n',
  'HTTP/1.1 500 Server Error\r\ncontent-length: 4\r\n\r\nmore',
  `HTTP/1.1 503 Unavailable\r\n${NOT_RUN_HEADER}\r\ncontent-length: 0\r\n\r\n`,
  'HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n',
  'HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n',
] as const;

const INTERIM = [
  'HTTP/1.1 102 Processing\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nx-fuchsiacleat-attempt-id: other\r\n\r\n',
] as const;

/** Text that looks like the end of chunks and the next answer. */
const MISLEADING_TEXT = '\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n';

/** Faults that come after the end of an answer. */
const LATER_FAULTS: readonly AnswerFault[] = [
  ANSWER_FAULT.copyLater,
  ANSWER_FAULT.copyDue,
  ANSWER_FAULT.brokenCopyDue,
  ANSWER_FAULT.surplusDue,
];

/** Faults that nothing tells from the body of an answer without a length. */
const HIDDEN_FAULTS: readonly AnswerFault[] = [
  ANSWER_FAULT.copyAtOnce,
  ANSWER_FAULT.surplus,
];

/** Draws the answers of a worker. */
export class RandomAnswers {
  /**
   * @param name - name of the worker, a part of its bodies.
   * @param random - draws the answers and the faults.
   * @param mix - see {@link AnswerMix}.
   */
  constructor(
    private readonly name: string,
    private readonly random: Random,
    private readonly mix: AnswerMix,
  ) {}

  /** Returns what the worker does for a request. */
  script(request: RawWorkerRequest): AnswerScript {
    const {random} = this;
    const answer = this.draw(request);
    const hasFault = random.float() < this.mix.faultFraction;
    const faults = this.mix.faults.filter(each => canHave(answer, each));
    const fault =
      hasFault && faults.length > 0 ? random.pick(faults) : undefined;
    const script = this.play(answer, fault);
    const work: AnswerStep = {type: 'wait', ms: random.int(0, MAX_WORK_MS)};
    // Bytes that are owed leave ahead of the work, or in one segment with the answer.
    const isApart = random.float() < 0.5;
    const steps = script.steps.flatMap(step => this.split(step));
    if (isApart) return {...script, steps: [work, ...steps]};
    return {...script, steps};
  }

  private draw(request: RawWorkerRequest): RawAnswer {
    const {random} = this;
    const {afterEvent, id, number, target} = request;
    const signature = `${this.name}.${number}`;
    const isStream =
      target.startsWith(ROUTE_PATH.stream) ||
      target.startsWith(ROUTE_PATH.resumable);
    const kind = random.float();
    const isRefusal = kind < REFUSAL_FRACTION;
    const isError = !isRefusal && kind < REFUSAL_FRACTION + ERROR_FRACTION;
    const hasEvents = isStream && !isRefusal && !isError;
    const isLarge =
      target.startsWith(ROUTE_PATH.repeatable) &&
      random.float() < this.mix.largeFraction;
    const text = `${signature} ${id} `;
    const chunkBytes = random.pick(CHUNK_BYTES);
    const answer = rawAnswer({
      id,
      signature,
      framing: random.pick(Object.values(FRAMING)),
      chunkBytes: isLarge
        ? Math.max(chunkBytes, MIN_LARGE_CHUNK_BYTES)
        : chunkBytes,
      body: hasEvents
        ? this.events(text, afterEvent)
        : this.fill(text, this.size(isLarge)),
      headers: hasEvents ? [EVENT_STREAM_HEADER] : [],
      firstHeaders: random.float() < 0.5 ? ['server: worker'] : [],
    });
    if (isError) return {...answer, status: 500, reason: 'Server Error'};
    if (!isRefusal) return answer;
    const headers = [NOT_RUN_HEADER];
    return {...answer, status: 503, reason: 'Unavailable', headers};
  }

  private play(
    answer: RawAnswer,
    fault: AnswerFault | undefined,
  ): AnswerScript {
    const {random} = this;
    const bytes = encodeAnswer(answer);
    const write: AnswerStep = {type: 'write', bytes};
    const end: AnswerStep[] = closesConnection(answer) ? [{type: 'close'}] : [];
    const pause: AnswerStep = {type: 'wait', ms: RESET_DELAY_MS};
    const reset: AnswerStep[] =
      random.float() < 0.5 ? [pause, {type: 'reset'}] : [{type: 'reset'}];
    const script = (steps: AnswerStep[]) => ({answer, steps, fault});
    switch (fault) {
      case ANSWER_FAULT.closed: {
        const part = bytes.subarray(0, random.int(0, bytes.length - 1));
        const steps: AnswerStep[] = [{type: 'write', bytes: part}];
        const sent = part.length - encodeHead(answer).length;
        const closedAfterBytes = sent < 0 ? undefined : sent;
        return {...script([...steps, {type: 'close'}]), closedAfterBytes};
      }
      case ANSWER_FAULT.reset: {
        const part = bytes.subarray(0, random.int(0, bytes.length));
        return script([{type: 'write', bytes: part}, ...reset]);
      }
      case ANSWER_FAULT.copyAtOnce:
        return script([write, write, ...end]);
      case ANSWER_FAULT.copyLater: {
        const ms = random.int(0, MAX_COPY_DELAY_MS);
        return script([write, {type: 'add-later', bytes, ms}]);
      }
      case ANSWER_FAULT.copyDue:
        return script([write, {type: 'owe', bytes}]);
      case ANSWER_FAULT.brokenCopyDue: {
        // Most of the cuts are within the head.
        const {length} = random.float() < 0.7 ? encodeHead(answer) : bytes;
        const part = bytes.subarray(0, random.int(1, length - 1));
        return script([write, {type: 'owe', bytes: part}]);
      }
      case ANSWER_FAULT.surplus: {
        const more = Buffer.from(random.pick(SURPLUS));
        return script([write, {type: 'write', bytes: more}, ...end]);
      }
      case ANSWER_FAULT.surplusDue: {
        const more = Buffer.from(random.pick(SURPLUS));
        return script([write, {type: 'owe', bytes: more}]);
      }
      case ANSWER_FAULT.excess:
        return script([...this.excess(answer, bytes), ...reset]);
      case ANSWER_FAULT.longerLength: {
        const length = answer.body.length + random.int(1, MAX_MISSING_BYTES);
        const headers = [...answer.headers, `content-length: ${length}`];
        const longer = {...answer, framing: FRAMING.none, headers};
        const part: AnswerStep = {type: 'write', bytes: encodeAnswer(longer)};
        const isReset = random.float() < 0.5;
        const steps = [part, ...(isReset ? reset : [{type: 'close'} as const])];
        return {...script(steps), answer: {...answer, headers}};
      }
      case ANSWER_FAULT.headAhead: {
        const {length} = encodeHead(answer);
        const head: AnswerStep = {
          type: 'write',
          bytes: bytes.subarray(0, length),
        };
        const rest: AnswerStep = {type: 'write', bytes: bytes.subarray(length)};
        return script([head, {type: 'wait', ms: HEAD_AHEAD_MS}, rest, ...end]);
      }
      case ANSWER_FAULT.interim: {
        const interim = Buffer.from(random.pick(INTERIM));
        return script([{type: 'write', bytes: interim}, write, ...end]);
      }
      default:
        return script([write, ...end]);
    }
  }

  /** Writes an answer that goes on past its end, which only chunks allow. */
  private excess(answer: RawAnswer, bytes: Buffer): AnswerStep[] {
    const isChunked =
      answer.framing === FRAMING.chunks ||
      answer.framing === FRAMING.closingChunks;
    const excess = Buffer.alloc(EXCESS_BYTES, '!');
    const start = isChunked ? bytes.subarray(0, -LAST_CHUNK.length) : bytes;
    const rest = isChunked ? encodeChunks(excess, EXCESS_CHUNK_BYTES) : excess;
    return [
      {type: 'write', bytes: start},
      {type: 'write', bytes: rest},
    ];
  }

  /** Splits what is written into several segments. */
  private split(step: AnswerStep): AnswerStep[] {
    const {random} = this;
    if (step.type !== 'write') return [step];
    const steps: AnswerStep[] = [];
    let {bytes} = step;
    for (let i = random.int(1, MAX_SEGMENTS); i > 1 && bytes.length > 1; i--) {
      const length = random.int(1, bytes.length - 1);
      const ms = random.int(0, MAX_SEGMENT_PAUSE_MS);
      steps.push({type: 'write', bytes: bytes.subarray(0, length)});
      steps.push({type: 'wait', ms});
      bytes = bytes.subarray(length);
    }
    return [...steps, {type: 'write', bytes}];
  }

  private size(isLarge: boolean): number {
    const {random} = this;
    if (isLarge) return random.int(LARGE_BYTES.min, LARGE_BYTES.max);
    const isMedium = random.float() < MEDIUM_FRACTION;
    const {max, min} = isMedium ? MEDIUM_BYTES : SMALL_BYTES;
    return random.int(min, max);
  }

  private fill(text: string, size: number): Buffer {
    const isMisleading = this.random.float() < 0.1;
    return Buffer.alloc(size, isMisleading ? text + MISLEADING_TEXT : text);
  }

  private events(text: string, after: number): Buffer {
    const {random} = this;
    let events = '';
    for (let i = after + 1; i <= STREAM_EVENTS; i++) {
      const more = 'x'.repeat(random.int(EVENT_BYTES.min, EVENT_BYTES.max));
      events += `id: ${i}\ndata: ${text}${more}\n\n`;
    }
    return Buffer.from(events);
  }
}

function canHave(answer: RawAnswer, fault: AnswerFault): boolean {
  if (LATER_FAULTS.includes(fault)) return !closesConnection(answer);
  return !HIDDEN_FAULTS.includes(fault) || !isCloseDelimited(answer);
}
