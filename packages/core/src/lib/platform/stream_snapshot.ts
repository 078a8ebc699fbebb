/** Snapshots of the state of a stream. @packageDocumentation */

import {z} from 'zod';

/** Value of `type` in the body of a snapshot record; reserved for snapshots. */
export const SNAPSHOT_TYPE = 'stream-snapshot';

/** Schema of a snapshot in a record body and in messages between hosts. */
export const streamSnapshotSchema = z.object({
  type: z.literal(SNAPSHOT_TYPE),
  /** Offset of the first record that is not included. */
  through: z.number().int().min(0),
  /** Version of the state; see {@link SnapshotState.version}. */
  version: z.number().int().min(0),
  /**
   * Ids of the latest records, oldest first, for detecting repeated records.
   */
  ids: z.array(z.string()),
  /** Whether a new period starts in which hosts may restore newer states. */
  resettles: z.boolean(),
  /** Log time until which hosts may restore states, in epoch milliseconds. */
  settlesAtMs: z.number(),
  /**
   * Log time of the latest included record, in epoch milliseconds; null if
   * unknown.
   */
  lastRecordAtMs: z.number().nullable(),
  /** Value returned by {@link SnapshotState.capture}. */
  state: z.unknown(),
});

/** See {@link streamSnapshotSchema}. */
export type StreamSnapshot = z.output<typeof streamSnapshotSchema>;

/**
 * A state that results from the records of a stream.
 *
 * Pass an implementation to `StreamTail` to make the stream outlive the log's
 * retention. The tail appends snapshots of the state before the previous ones
 * expire, starts new readers from the latest snapshot, and after a loss of
 * records lets hosts restore the states that they hold.
 *
 * ```ts
 * class Counter extends SnapshotState {
 *   private count = 0;
 *   get version() { return this.count; }
 *   apply(record: StoredRecord) { this.count += 1; }
 *   capture() { return {count: this.count}; }
 *   restore(state: unknown) { this.count = schema.parse(state).count; }
 * }
 * ```
 */
export abstract class SnapshotState {
  /**
   * Version of the state, which must increase with every change that must not
   * be lost. A snapshot with a higher version replaces the state; one with a
   * lower version never does. Always return 0 if the latest snapshot in the log
   * is sufficient, so that no state is ever replaced.
   */
  abstract get version(): number;

  /**
   * Copies the state. Later records must not affect the copy.
   *
   * @returns a value that JSON and CBOR can represent.
   */
  abstract capture(): unknown;

  /**
   * Replaces the state. This is called while a page is being applied, so
   * listeners must be notified only from the tail's `onApplied`.
   *
   * @param state - a value that `capture` returned on any host.
   * @returns whether the value was well-formed; if not, the state must be
   *     unchanged.
   */
  abstract restore(state: unknown): boolean;
}

/**
 * Parses a record body as a snapshot.
 *
 * @param body - body of a record.
 * @returns the snapshot, or undefined if the record is not a valid one.
 */
export function parseSnapshot(body: unknown): StreamSnapshot | undefined {
  const type = (body as {type?: unknown} | null | undefined)?.type;
  if (type !== SNAPSHOT_TYPE) return undefined;
  const parsed = streamSnapshotSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
