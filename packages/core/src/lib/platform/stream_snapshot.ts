/** Snapshots of what a stream's records add up to. @packageDocumentation */

import {z} from 'zod';

/** The `type` of a snapshot's record; no other record may have it. */
export const SNAPSHOT_TYPE = 'stream-snapshot';

/** Schema of a snapshot, as a record's body and between hosts. */
export const streamSnapshotSchema = z.object({
  type: z.literal(SNAPSHOT_TYPE),
  /** Offset of the first record that the snapshot does not cover. */
  through: z.number().int().min(0),
  /** Version of the state; see {@link SnapshotState.version}. */
  version: z.number().int().min(0),
  /** Ids of the latest records, oldest first, to detect repeated records. */
  ids: z.array(z.string()),
  /** Whether hosts get time again to put newer states back. */
  resettles: z.boolean(),
  /** Log time until which hosts put states back, in epoch milliseconds. */
  settlesAtMs: z.number(),
  /**
   * Log time of the latest record covered, in epoch milliseconds; null if
   * that is not known.
   */
  lastRecordAtMs: z.number().nullable(),
  /** What {@link SnapshotState.capture} gave. */
  state: z.unknown(),
});

/** See {@link streamSnapshotSchema}. */
export type StreamSnapshot = z.output<typeof streamSnapshotSchema>;

/**
 * A state that follows from the records of a stream.
 *
 * Implement it, hand it to a `StreamTail` and the stream outlives the log's
 * retention: the tail appends snapshots of the state ahead of their expiry,
 * starts a new reader from the newest one, and after the loss of records lets
 * hosts put back what they hold.
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
   * Grows with every change that must not be lost. A snapshot with a higher
   * version than the state's replaces the state, and a reader never takes a
   * lower one. Return 0 always if the newest snapshot in the log is good
   * enough, so that nothing is ever replaced.
   */
  abstract get version(): number;

  /**
   * Copies the state, without the effect of later records.
   *
   * @returns a value that survives JSON and CBOR.
   */
  abstract capture(): unknown;

  /**
   * Replaces the state; called in the middle of a read, so notify listeners
   * only from the tail's `onApplied`.
   *
   * @param state - what `capture` gave on some host.
   * @returns whether the value was well-formed; if not, nothing changed.
   */
  abstract restore(state: unknown): boolean;
}

/**
 * @param body - body of a record.
 * @returns the snapshot that it holds, if it is one.
 */
export function parseSnapshot(body: unknown): StreamSnapshot | undefined {
  const type = (body as {type?: unknown} | null | undefined)?.type;
  if (type !== SNAPSHOT_TYPE) return undefined;
  const parsed = streamSnapshotSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
