/** What is known about the end of one target process. @packageDocumentation */

import {isRequestDigest} from './request_digest.js';
import {RunAtEnd, TargetEnd} from './target_end.js';

/**
 * Time after the first report of an end in which other hosts may report runs
 * that had begun. Until then, runs that only waited accuse no part.
 */
export const GATHER_MS = 150;

/** Evidence of one end against a part or a request. */
export interface Accusation {
  /** Whether it counted as a further end. */
  wasCounted: boolean;
  /** Whether no other request may have caused the end. */
  isSole: boolean;
  atMs: number;
  /** Time of the last end before it. */
  previousEndMs: number;
  /** Time of the last end before it that counted. */
  previousCountedMs: number;
  /** Requests that it made known to the record. */
  requests: readonly string[];
}

/** The end of a process, with the parts and requests that it accuses. */
export class EndCase {
  readonly accused = new Map<string, Accusation>();
  /** Whether a part or a request is known that caused the end. */
  isExplained = false;
  private readonly runs: RunAtEnd[] = [];

  /**
   * @param target - id of the target.
   * @param firstMs - clock time of the first report.
   */
  constructor(
    readonly target: string,
    readonly firstMs: number,
  ) {}

  /**
   * Adds the runs that a host reports.
   *
   * @param end - the report.
   */
  add(end: TargetEnd): void {
    this.runs.push(...end.runs);
  }

  /**
   * Returns the runs that may have caused the end: those that had begun, or all
   * if none had and all hosts have had the time to report.
   *
   * @param nowMs - clock time.
   */
  candidates(nowMs: number): RunAtEnd[] {
    const begun = this.runs.filter(run => run.hasBegun);
    if (begun.length > 0) return begun;
    return nowMs - this.firstMs >= GATHER_MS ? [...this.runs] : [];
  }
}

/**
 * Returns what identifies the request of a run in all its repeats.
 *
 * @param run - the run.
 * @returns the digest of the request, or the id of its attempt if the host that
 *     reports the run sends no digest.
 */
export function requestOf({id, parts}: RunAtEnd): string {
  return parts.find(isRequestDigest) ?? id;
}
