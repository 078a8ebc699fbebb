/** What is known about one prompt part, or one whole request. @packageDocumentation */

import {z} from 'zod';
import {requestOf} from './end_case.js';
import {isRequestDigest} from './request_digest.js';
import {RunAtEnd} from './target_end.js';

/** How a prompt part is treated. */
export const STANDING = {
  /** Requests with the part are not restricted. */
  clear: 'clear',
  /** A process ended under it, but it was answered shortly before. */
  watched: 'watched',
  /** One request with the part at a time is sent, as a trial. */
  suspect: 'suspect',
  /** Requests with the part are refused. */
  quarantined: 'quarantined',
} as const;

/** One of {@link STANDING}. */
export type Standing = (typeof STANDING)[keyof typeof STANDING];

export const partStateSchema = z.object({
  /** Digest of the part, or of the whole request. */
  part: z.string(),
  /** Processes that ended under the part since it was last answered. */
  ends: z.number(),
  /** Time since the last of these ends, in milliseconds; 0 if there is none. */
  endAgoMs: z.number(),
  /** Time since a target began the last answer that proved the part sound. */
  answeredAgoMs: z.number().optional(),
  /** Remaining time of the quarantine; 0 if there is none. */
  quarantineLeftMs: z.number(),
  /** How often the part was quarantined since it was last answered. */
  quarantineCount: z.number(),
  /** Targets that ended under the part, newest last. */
  targets: z.array(z.string()),
  /** Those of the ends that no other request may have caused. */
  soleEnds: z.number().optional(),
  /** Requests under which these targets ended, newest last. */
  requests: z.array(z.string()).optional(),
});

/** A {@link PartRecord} as sent to other hosts, with ages in place of times. */
export type PartState = z.output<typeof partStateSchema>;

/** Most targets and requests that a record names. */
const MAX_TARGETS = 8;
const MAX_REQUESTS = 8;

/**
 * A process that ends under a part that was answered within this time does not
 * make it suspect: more likely, another part of the prompt caused the end.
 */
const SOUND_RECORD_MS = 30_000;

/** Ends without an answer in between that make any part suspect. */
const SUSPECT_ENDS = 2;

/** Evidence about one prompt part, or one whole request. */
export class PartRecord {
  ends = 0;
  lastEndMs = -Infinity;
  /** Time of the last end that counted as a further one. */
  lastCountedMs = -Infinity;
  answeredMs = -Infinity;
  quarantinedUntilMs = -Infinity;
  quarantineCount = 0;
  targets: string[] = [];
  /** Ends that no other request may have caused. */
  soleEnds = 0;
  /** Requests under which targets ended, newest last. */
  requests: string[] = [];
  /** Ids of the attempts under which targets ended; known to this host only. */
  private attempts: string[] = [];
  /** The request that may be sent as a trial, until a clock time. */
  trial: {requestId: string; target: string; untilMs: number} | undefined;

  /** @param part - digest of the part, or of the whole request. */
  constructor(readonly part: string) {}

  /** Whether the record is that of a whole request. */
  get isRequest(): boolean {
    return isRequestDigest(this.part);
  }

  /**
   * Returns how the part is treated.
   *
   * @param nowMs - clock time.
   */
  standingAt(nowMs: number): Standing {
    if (nowMs < this.quarantinedUntilMs) return STANDING.quarantined;
    if (this.ends === 0) return STANDING.clear;
    if (this.ends >= SUSPECT_ENDS) return STANDING.suspect;
    const hasSoundRecord = this.lastEndMs - this.answeredMs < SOUND_RECORD_MS;
    // Of several requests at an end, all but one are bystanders.
    const isOneOfSeveral = this.isRequest && this.soleEnds === 0;
    const isWatched = hasSoundRecord || isOneOfSeveral;
    return isWatched ? STANDING.watched : STANDING.suspect;
  }

  /**
   * Returns whether the ends count already that these requests stand for. Ends
   * under one request, however many, say nothing more about its parts.
   *
   * @param requests - requests that hold the part.
   */
  hasAllWitnesses(requests: readonly string[]): boolean {
    if (this.isRequest) return false;
    return requests.every(request => this.requests.includes(request));
  }

  /** Returns whether one of the runs repeats an attempt that ended a target. */
  hasRepeated(runs: readonly RunAtEnd[]): boolean {
    return this.isRequest && runs.some(({id}) => this.attempts.includes(id));
  }

  /**
   * Records the runs of an end.
   *
   * @param runs - runs of requests with the part.
   * @returns the requests that were not known before.
   */
  recordWitnesses(runs: readonly RunAtEnd[]): string[] {
    const requests = new Set(runs.map(requestOf));
    const added = [...requests].filter(key => !this.requests.includes(key));
    this.requests = [...this.requests, ...added].slice(-MAX_REQUESTS);
    const attempts = runs.map(({id}) => id);
    this.attempts = [...this.attempts, ...attempts].slice(-MAX_REQUESTS);
    return added;
  }

  /** Forgets requests under which no target ended after all. */
  forgetWitnesses(requests: readonly string[]): void {
    this.requests = this.requests.filter(key => !requests.includes(key));
  }

  /** Records that a target ended. */
  recordTarget(target: string): void {
    if (this.targets.at(-1) === target) return;
    this.targets.push(target);
    if (this.targets.length > MAX_TARGETS) this.targets.shift();
  }

  /**
   * Returns the state to send to other hosts.
   *
   * @param nowMs - clock time.
   */
  toState(nowMs: number): PartState {
    const {part, ends, quarantineCount, soleEnds, requests, targets} = this;
    const hasAnswer = this.answeredMs !== -Infinity;
    // Messages hold finite numbers only.
    const hasEnd = this.lastEndMs !== -Infinity;
    return {
      part,
      ends,
      endAgoMs: hasEnd ? nowMs - this.lastEndMs : 0,
      answeredAgoMs: hasAnswer ? nowMs - this.answeredMs : undefined,
      quarantineLeftMs: Math.max(0, this.quarantinedUntilMs - nowMs),
      quarantineCount,
      targets: [...targets],
      soleEnds,
      requests: [...requests],
    };
  }

  /**
   * Replaces the evidence by that of another host.
   *
   * @param state - the state that the host sent.
   * @param nowMs - clock time.
   */
  applyState(state: PartState, nowMs: number): void {
    const {answeredAgoMs = Infinity, quarantineLeftMs} = state;
    this.ends = state.ends;
    this.lastEndMs = nowMs - state.endAgoMs;
    this.lastCountedMs = this.lastEndMs;
    this.answeredMs = nowMs - answeredAgoMs;
    this.quarantinedUntilMs =
      quarantineLeftMs > 0 ? nowMs + quarantineLeftMs : -Infinity;
    this.quarantineCount = state.quarantineCount;
    this.targets = state.targets.slice(-MAX_TARGETS);
    this.soleEnds = state.soleEnds ?? 0;
    this.requests = (state.requests ?? []).slice(-MAX_REQUESTS);
  }
}
