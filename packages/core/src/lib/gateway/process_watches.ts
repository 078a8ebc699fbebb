/** Watches the processes of targets. @packageDocumentation */

import {
  CLOSE_TIME_MS,
  ProcessWatch,
  WATCH_RESULT,
} from '../net/process_watch.js';
import {Clock} from '../time/clock.js';
import {END_EVIDENCE, EndFinding, isComplete} from './end_evidence.js';
import {KnownTarget} from './target_table.js';

/**
 * Time for which other answers of a process may show that it goes on, in
 * milliseconds; longer than the usual pause between events.
 */
const OTHER_ANSWERS_MS = 250;

/** Dependencies of {@link ProcessWatches}. */
export interface ProcessWatchesParts {
  clock: Clock;
  /** Begins to watch the process of a target. */
  open: (target: KnownTarget) => ProcessWatch;
}

/** Watches processes that write answers which only their connections delimit. */
export class ProcessWatches {
  private readonly answersByProcess = new Map<string, Set<WatchedAnswer>>();

  /** @param parts - see {@link ProcessWatchesParts}. */
  constructor(private readonly parts: ProcessWatchesParts) {}

  /**
   * Begins to watch the process that has begun an answer.
   *
   * @returns the answer, which has to be disposed of.
   */
  begin(target: KnownTarget): WatchedAnswer {
    const {address, id, startedMs} = target.registration;
    const key = `${id} ${startedMs} ${address}`;
    const answers = this.answersByProcess.get(key) ?? new Set<WatchedAnswer>();
    this.answersByProcess.set(key, answers);
    const answer = new WatchedAnswer(
      this.parts.clock,
      this.parts.open(target),
      answers,
      () => {
        answers.delete(answer);
        if (answers.size === 0) this.answersByProcess.delete(key);
      },
    );
    answers.add(answer);
    return answer;
  }
}

/** An answer of a watched process. */
export class WatchedAnswer {
  private readonly beganMs: number;
  /** Clock time at which it received its last bytes. */
  private receivedMs = -Infinity;
  /** Clock time at which it ended. */
  private endedMs = Infinity;

  /**
   * @param clock - measures the times of all answers.
   * @param watch - a watch that began with the answer.
   * @param ofProcess - the answers of the process that have not ended.
   * @param onDisposed - called when the answer is disposed of.
   */
  constructor(
    private readonly clock: Clock,
    private readonly watch: ProcessWatch,
    private readonly ofProcess: ReadonlySet<WatchedAnswer>,
    private readonly onDisposed: () => void,
  ) {
    this.beganMs = clock.now();
  }

  /** Records bytes of the answer. */
  recordReceived(): void {
    this.receivedMs = this.clock.now();
  }

  /**
   * Finds out whether the process has ended the answer of itself. Called once,
   * when its connection has ended.
   *
   * @param timeoutMs - time limit for a reply of the process.
   */
  async check(timeoutMs: number): Promise<EndFinding> {
    this.endedMs = this.clock.now();
    const finding = await this.watch.check(timeoutMs);
    if (isComplete(finding) || finding === WATCH_RESULT.otherProcess)
      return finding;
    const goesOn = await this.hasOtherAnswers(this.endedMs + CLOSE_TIME_MS);
    return goesOn ? END_EVIDENCE.otherAnswers : finding;
  }

  /** Ends the watch. */
  dispose(): void {
    this.watch.close();
    this.onDisposed();
  }

  /** Waits for bytes of other answers that the process has written later. */
  private async hasOtherAnswers(sinceMs: number): Promise<boolean> {
    const {clock} = this;
    const limitMs = clock.now() + OTHER_ANSWERS_MS;
    for (;;) {
      // A later answer may be of another process at the same address.
      const others = [...this.ofProcess].filter(
        other => other !== this && other.beganMs <= this.endedMs,
      );
      if (others.some(({receivedMs}) => receivedMs >= sinceMs)) return true;
      const isOver = others.every(({endedMs}) => endedMs !== Infinity);
      if (isOver || clock.now() >= limitMs) return false;
      await clock.sleep(CLOSE_TIME_MS);
    }
  }
}
