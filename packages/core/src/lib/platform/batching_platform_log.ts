/** Group commit for appends to the log. @packageDocumentation */

import {Result, err} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {
  LogError,
  LogPage,
  LogRecord,
  PlatformLog,
  ReadOptions,
} from './platform_log.js';

/** Delay in which further records can join a batch. */
const FLUSH_DELAY_MS = 5;

const MAX_BATCH_RECORDS = 500;

const GIVEN_UP: LogError = {
  type: 'log-unavailable',
  message: 'the wait for the log was given up',
};

interface PendingAppend {
  records: readonly LogRecord[];
  signal: AbortSignal;
  resolve: (answer: Result<number[], LogError>) => void;
}

/**
 * Batches the records that are appended to a stream within a few milliseconds
 * into one call, in the order in which they were appended.
 */
export class BatchingPlatformLog extends PlatformLog {
  private readonly batches = new Map<string, PendingAppend[]>();

  /**
   * @param inner - the underlying log.
   * @param clock - schedules the flush of each batch.
   */
  constructor(
    private readonly inner: PlatformLog,
    private readonly clock: Clock,
  ) {
    super();
  }

  override append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>> {
    return new Promise(finish => {
      const onAbort = () => resolve(err(GIVEN_UP));
      const resolve = (answer: Result<number[], LogError>) => {
        signal.removeEventListener('abort', onAbort);
        finish(answer);
      };
      // The batch may go on for longer, for the sake of its other appends.
      signal.addEventListener('abort', onAbort);
      if (signal.aborted) onAbort();
      const batch = this.batches.get(stream);
      if (batch !== undefined && batch.length < MAX_BATCH_RECORDS) {
        batch.push({records, signal, resolve});
        return;
      }
      const newBatch = [{records, signal, resolve}];
      this.batches.set(stream, newBatch);
      this.clock.after(FLUSH_DELAY_MS, () => void this.flush(stream, newBatch));
    });
  }

  override read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    return this.inner.read(stream, from, options);
  }

  private async flush(stream: string, batch: PendingAppend[]): Promise<void> {
    if (this.batches.get(stream) === batch) this.batches.delete(stream);
    const records = batch.flatMap(waiting => waiting.records);
    const combined = combineSignals(batch.map(waiting => waiting.signal));
    const answer = await this.inner.append(stream, records, combined.signal);
    combined.dispose();
    let from = 0;
    for (const {records: own, resolve} of batch) {
      const start = from;
      from += own.length;
      resolve(answer.map(offsets => offsets.slice(start, start + own.length)));
    }
  }
}

/**
 * Creates a signal that aborts once all given signals have aborted, so that a
 * batch is given up only if none of its callers is waiting any more.
 */
function combineSignals(signals: readonly AbortSignal[]): {
  signal: AbortSignal;
  dispose: () => void;
} {
  const combined = new AbortController();
  let pendingCount = signals.length;
  const onAbort = () => {
    pendingCount -= 1;
    if (pendingCount === 0) combined.abort();
  };
  for (const signal of signals) {
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, {once: true});
  }
  const dispose = () => {
    for (const signal of signals) signal.removeEventListener('abort', onAbort);
  };
  return {signal: combined.signal, dispose};
}
