/** What a worker process and its parent tell each other. @packageDocumentation */

import {createHash} from 'node:crypto';
import {FRAMING, WorkerFraming} from '@fuchsiacleat/standins';

/** Number of events of each stream. */
export const PROCESS_STREAM_EVENTS = 24;

/** Number of parts of each plain answer. */
export const PLAIN_PARTS = 10;

/** Time between two events or parts, in milliseconds. */
export const PART_GAP_MS = 30;

/** Options of a worker process, as its only argument in JSON. */
export interface WorkerProcessOptions {
  id: string;
  service: string;
  models?: string[];
  /** Seed of the framing of its answers. */
  seed: number;
}

/** Commands to a worker process. */
export const COMMAND = {
  /** Becomes a worker, at a port. */
  listen: 'listen',
  /** Refuses new requests as one without a free slot. */
  fill: 'fill',
  /** Accepts requests again. */
  accept: 'accept',
  /** Stops listening and exits right after the last answer. */
  leave: 'leave',
} as const;

/** A command; the port is that of {@link COMMAND.listen}, 0 for a free one. */
export interface WorkerCommand {
  command: (typeof COMMAND)[keyof typeof COMMAND];
  port?: number;
}

/** What a worker process tells; times are Unix times of its own, in milliseconds. */
export type WorkerEvent =
  | {event: 'listening'; port: number; ready: object; draining: object}
  | RunEvent
  | {event: 'run-end'; id: string; atMs: number}
  | {event: 'refused'}
  | {event: 'exiting'; atMs: number};

/** A worker process runs a request. */
export interface RunEvent {
  event: 'run';
  id: string;
  framing: WorkerFraming;
  afterEvent: number;
  /** Whether the process has stopped listening. */
  isLeaving: boolean;
}

const FRAMINGS: readonly WorkerFraming[] = [
  FRAMING.length,
  FRAMING.chunks,
  FRAMING.none,
];

/** @returns how a worker frames its answer to a request. */
export function chooseFraming(
  {id, seed}: WorkerProcessOptions,
  request: string,
): WorkerFraming {
  const digest = createHash('sha1').update(`${seed} ${id} ${request}`).digest();
  return FRAMINGS[digest.readUInt32BE() % FRAMINGS.length];
}
