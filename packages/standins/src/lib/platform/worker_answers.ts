/** Writes the responses of a worker. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {FAULTY_ANSWER, FaultyAnswer} from './faulty_answers.js';
import {FRAMING} from './raw_answer.js';
import {WorkerOutput} from './worker_output.js';

const HEADER_PREFIX = 'x-fuchsiacleat-';

/** Fraction of a body before a cut; within an event of a stream. */
const CUT_FRACTION = 0.55;

/** Delay of the second copy of {@link FAULTY_ANSWER.twice}, in milliseconds. */
const DUPLICATE_DELAY_MS = 30;

/** End of each event of a stream. */
const EVENT_END = '\n\n';

/** Faults of responses without a length. */
const UNFRAMED: ReadonlySet<FaultyAnswer> = new Set([
  FAULTY_ANSWER.unframed,
  FAULTY_ANSWER.unframedShort,
  FAULTY_ANSWER.unframedEvents,
]);

/** Faults of responses that lack a part of their body. */
const SHORT: ReadonlySet<FaultyAnswer> = new Set([
  FAULTY_ANSWER.cut,
  FAULTY_ANSWER.unframedShort,
  FAULTY_ANSWER.unframedEvents,
]);

/** How a worker tells the end of a response. */
export type WorkerFraming =
  typeof FRAMING.length | typeof FRAMING.chunks | typeof FRAMING.none;

/** Places in a response at which a worker can fall silent. */
export const SILENCE_PLACE = {
  /** Before the head. */
  head: 'before the head',
  /** Between two events, or halfway through a plain body. */
  between: 'between events',
  /** After half of an event, or halfway through a plain body. */
  inside: 'inside an event',
  /** Before the last event, or halfway through a plain body. */
  last: 'before the last event',
} as const;

/** One of {@link SILENCE_PLACE}. */
export type SilencePlace = (typeof SILENCE_PLACE)[keyof typeof SILENCE_PLACE];

/** Silence at a place in the response to one request. */
export interface PlannedSilence {
  place: SilencePlace;
  /** Duration in milliseconds. */
  forMs: number;
  /** Whether the whole worker is silent; by default only this response is. */
  isWorkerSilent?: boolean;
}

/** How far a worker has written a response. */
export interface AnswerProgress {
  /** The part of the body that was written. */
  text: string;
  /** Whether the worker has ended the response in order, whole or not. */
  isEnded: boolean;
}

/** Response to be written, and its progress. */
export interface WorkerAnswer {
  id: string;
  res: ServerResponse;
  fault: FaultyAnswer | undefined;
  /** How the end of the body is told; by default as the body allows. */
  framing: WorkerFraming | undefined;
  silence: PlannedSilence | undefined;
  /** What each event of a stream holds. */
  piece: string;
  progress: AnswerProgress;
  /** Size of a large plain response; undefined for a short one. */
  bodyBytes: number | undefined;
  /** Number of parts of a plain response, with {@link gapMs} between them. */
  parts: number;
  /** Number of events; undefined for a plain response. */
  events: number | undefined;
  /**
   * Time between two events or parts in milliseconds; 0 for a stream that is
   * sent at once.
   */
  gapMs: number;
  /** Id of the last event that the caller has; 0 for none. */
  afterEvent: number;
  /** Id of the newest event that was made. */
  eventsMade: number;
}

/** A part of a body, with what to do before it is written. */
interface BodyPiece {
  text: string;
  /** Id of the event that is whole with this piece; undefined within events. */
  eventId?: number;
  place?: SilencePlace;
  /** Pause in milliseconds. */
  pauseMs: number;
}

/** Writes responses, with their faults and silences. */
export class WorkerAnswers {
  /**
   * @param stamp - value of the header by which the worker signs.
   * @param output - holds responses back while the worker is silent.
   */
  constructor(
    private readonly stamp: string,
    private readonly output: WorkerOutput,
  ) {}

  /** Writes a response until its end; stops when the connection closes. */
  async send(answer: WorkerAnswer): Promise<void> {
    const {fault, id, res} = answer;
    if (fault === FAULTY_ANSWER.mute || res.destroyed) return;
    if (fault === FAULTY_ANSWER.lose) {
      res.socket?.destroy();
      return;
    }
    await this.beSilent(answer, SILENCE_PLACE.head);
    if (res.destroyed) return;
    const echoed = fault === FAULTY_ANSWER.otherId ? 'another' : id;
    res.setHeader(`${HEADER_PREFIX}attempt-id`, echoed);
    if (fault !== FAULTY_ANSWER.unsigned)
      res.setHeader(`${HEADER_PREFIX}server-stamp`, this.stamp);
    if (answer.events !== undefined)
      res.setHeader('content-type', 'text/event-stream');
    const text = bodyOf(answer);
    const framing = framingOf(answer);
    if (framing === FRAMING.none) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    if (framing === FRAMING.length)
      res.writeHead(200, {'content-length': Buffer.byteLength(text)});
    else res.writeHead(200);
    const isInParts = answer.events !== undefined || answer.parts > 1;
    if (answer.gapMs > 0 && isInParts) res.flushHeaders();
    await this.writeBody(answer, text);
  }

  private async writeBody(answer: WorkerAnswer, text: string): Promise<void> {
    const {fault, res} = answer;
    const {socket} = res;
    const end = endOf(text, fault);
    let position = 0;
    for (const piece of piecesOf(answer, text)) {
      if (piece.pauseMs > 0) await pause(piece.pauseMs);
      await this.beSilent(answer, piece.place);
      if (res.destroyed) return;
      const part = piece.text.slice(0, end - position);
      res.write(part);
      answer.progress.text += part;
      position += piece.text.length;
      if (piece.eventId !== undefined) answer.eventsMade = piece.eventId;
      if (position >= end) break;
    }
    if (fault === FAULTY_ANSWER.cut) {
      res.write('', () => res.socket?.destroy());
      return;
    }
    res.end();
    answer.progress.isEnded = true;
    if (fault === FAULTY_ANSWER.twice && socket !== null)
      setTimeout(() => socket.write(copyOf(answer, text)), DUPLICATE_DELAY_MS);
  }

  /** Falls silent if that is planned here, and waits while the worker is. */
  private async beSilent(
    {silence}: WorkerAnswer,
    place: SilencePlace | undefined,
  ): Promise<void> {
    if (silence !== undefined && silence.place === place) {
      if (silence.isWorkerSilent) this.output.silence(silence.forMs);
      else await pause(silence.forMs);
    }
    await this.output.opened();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** @returns the second copy of a response. */
function copyOf({id}: WorkerAnswer, text: string): string {
  return (
    `HTTP/1.1 200 OK\r\n${HEADER_PREFIX}attempt-id: ${id}\r\n` +
    `${HEADER_PREFIX}server-stamp: s\r\ncontent-length: ${text.length}\r\n\r\n` +
    text
  );
}

/** @returns where a response ends that has this fault, if any. */
function endOf(text: string, fault: FaultyAnswer | undefined): number {
  if (fault === undefined || !SHORT.has(fault)) return text.length;
  const end = Math.floor(text.length * CUT_FRACTION);
  if (fault !== FAULTY_ANSWER.unframedEvents) return end;
  const index = text.slice(0, end).lastIndexOf(EVENT_END);
  return index < 0 ? 0 : index + EVENT_END.length;
}

/**
 * @param id - id of the request.
 * @param bytes - size of a large response; undefined for a short one.
 * @returns the body of the plain response; no two parts of it are the same.
 */
export function plainBody(id: string, bytes: number | undefined): string {
  let text = `done ${id}`;
  if (bytes === undefined) return text;
  const lines: string[] = [text];
  for (let size = text.length; size < bytes; size += text.length) {
    text = `\n${id} ${size}`;
    lines.push(text);
  }
  return lines.join('').slice(0, bytes);
}

function framingOf(answer: WorkerAnswer): WorkerFraming {
  const {events, fault, framing, gapMs} = answer;
  if (fault !== undefined && UNFRAMED.has(fault)) return FRAMING.none;
  const isStream = gapMs > 0 && events !== undefined;
  return framing ?? (isStream ? FRAMING.chunks : FRAMING.length);
}

function bodyOf(answer: WorkerAnswer): string {
  const {afterEvent, bodyBytes, events, id, piece} = answer;
  if (events === undefined) return plainBody(id, bodyBytes);
  let text = '';
  for (let i = afterEvent + 1; i <= events; i++) text += formatEvent(i, piece);
  return text;
}

function formatEvent(id: number, piece: string): string {
  return `id: ${id}\ndata: ${piece}\n\n`;
}

function plainPieces({gapMs, parts}: WorkerAnswer, text: string): BodyPiece[] {
  const startOf = (i: number) => Math.floor((i * text.length) / parts);
  return Array.from({length: parts}, (unusedItem, i) => ({
    text: text.slice(startOf(i), startOf(i + 1)),
    pauseMs: i === 0 ? 0 : gapMs,
  }));
}

/** @returns the parts of a body, split where pauses are. */
function piecesOf(answer: WorkerAnswer, text: string): BodyPiece[] {
  const {afterEvent, events, gapMs, piece, silence} = answer;
  const isSilentWithin =
    silence !== undefined && silence.place !== SILENCE_PLACE.head;
  if (events === undefined) {
    if (!isSilentWithin) return plainPieces(answer, text);
    const half = text.slice(0, text.length / 2);
    const rest = text.slice(half.length);
    return [
      {text: half, pauseMs: 0},
      {text: rest, pauseMs: 0, place: silence.place},
    ];
  }
  if (gapMs === 0 && !isSilentWithin)
    return [{text, eventId: events, pauseMs: 0}];
  const middleEvent = afterEvent + Math.ceil((events - afterEvent + 1) / 2);
  const pieces: BodyPiece[] = [];
  for (let eventId = afterEvent + 1; eventId <= events; eventId++) {
    const pauseMs = eventId === afterEvent + 1 ? 0 : gapMs;
    const event = formatEvent(eventId, piece);
    if (eventId === middleEvent && silence?.place === SILENCE_PLACE.inside) {
      const half = event.slice(0, event.length / 2);
      pieces.push({text: half, pauseMs});
      const rest = event.slice(half.length);
      pieces.push({text: rest, eventId, pauseMs: 0, place: silence.place});
      continue;
    }
    const isMiddle =
      eventId === middleEvent ? SILENCE_PLACE.between : undefined;
    const place =
      eventId === events && silence?.place === SILENCE_PLACE.last
        ? SILENCE_PLACE.last
        : isMiddle;
    pieces.push({text: event, eventId, pauseMs, place});
  }
  return pieces;
}
