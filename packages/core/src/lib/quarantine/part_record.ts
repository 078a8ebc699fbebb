/** What is known about one prompt part. @packageDocumentation */

import {z} from 'zod';

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
  /** Digest of the part. */
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
});

/** A {@link PartRecord} as sent to other hosts, with ages in place of times. */
export type PartState = z.output<typeof partStateSchema>;

/** Most targets that a record names. */
const MAX_TARGETS = 8;

/**
 * A process that ends under a part that was answered within this time does not
 * make it suspect: more likely, another part of the prompt caused the end.
 */
const SOUND_RECORD_MS = 30_000;

/** Ends without an answer in between that make any part suspect. */
const SUSPECT_ENDS = 2;

/** Evidence about one prompt part. */
export class PartRecord {
  ends = 0;
  lastEndMs = -Infinity;
  answeredMs = -Infinity;
  quarantinedUntilMs = -Infinity;
  quarantineCount = 0;
  targets: string[] = [];
  /** The request that may be sent as a trial, until a clock time. */
  trial: {requestId: string; target: string; untilMs: number} | undefined;

  /** @param part - digest of the part. */
  constructor(readonly part: string) {}

  /**
   * Returns how the part is treated.
   *
   * @param nowMs - clock time.
   */
  standingAt(nowMs: number): Standing {
    if (nowMs < this.quarantinedUntilMs) return STANDING.quarantined;
    if (this.ends === 0) return STANDING.clear;
    const hasSoundRecord = this.lastEndMs - this.answeredMs < SOUND_RECORD_MS;
    const isWatched = hasSoundRecord && this.ends < SUSPECT_ENDS;
    return isWatched ? STANDING.watched : STANDING.suspect;
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
    const {part, ends, quarantineCount, targets} = this;
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
    this.answeredMs = nowMs - answeredAgoMs;
    this.quarantinedUntilMs =
      quarantineLeftMs > 0 ? nowMs + quarantineLeftMs : -Infinity;
    this.quarantineCount = state.quarantineCount;
    this.targets = state.targets.slice(-MAX_TARGETS);
  }
}
