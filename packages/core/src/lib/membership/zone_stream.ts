/** Log stream of an availability zone. @packageDocumentation */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {
  AppendUnknown,
  RecordIdGenerator,
  StreamTail,
} from '../platform/stream_tail.js';
import {Random} from '../time/random.js';
import {ZoneState, ZoneStatePart} from './zone_state.js';

const envelopeSchema = z.object({type: z.string(), body: z.unknown()});

/** A type of records on a zone's stream. */
export interface ZoneRecordType<Body> {
  type: string;
  body: z.ZodType<Body>;
}

/** Options of a {@link ZoneStream}. */
export interface ZoneStreamOptions {
  zone: string;
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  /** Snapshots, which preserve the state beyond the log's retention. */
  snapshots?: {random: Random; retentionMs: number};
}

/** Appends records to the zone's stream. */
export interface ZoneRecordWriter {
  /**
   * Appends a record.
   *
   * @param type - type of the record.
   * @param body - content of the record.
   * @param timeoutMs - timeout in milliseconds.
   * @param signal - cancels the append.
   */
  append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<unknown, AppendUnknown>>;
}

type Listener = (body: unknown, record: StoredRecord, settled: boolean) => void;

/** The joins, leases and replica decisions of one zone in log order. */
export class ZoneStream implements ZoneRecordWriter {
  private readonly tail: StreamTail;
  private readonly listeners = new Map<string, Listener>();
  private readonly state = new ZoneState();
  private hasGap = false;

  constructor(private readonly options: ZoneStreamOptions) {
    this.tail = new StreamTail({
      ...options,
      stream: streamName(options.zone),
      onRecord: (record, settled) => this.handleRecord(record, settled),
      onApplied: () => this.state.notifyRestored(),
      snapshots: options.snapshots && {
        ...options.snapshots,
        state: this.state,
      },
      onGap: () => {
        this.hasGap = true;
      },
    });
  }

  /** Whether records expired before this host could read them. */
  get isTruncated(): boolean {
    return this.hasGap;
  }

  /** Name of the zone. */
  get zone(): string {
    return this.options.zone;
  }

  /** Adds a part to the state that snapshots of the stream contain. */
  addStatePart(name: string, part: ZoneStatePart): void {
    this.state.add(name, part);
  }

  /**
   * Sets the listener of a type of records, replacing an earlier one.
   *
   * @param type - the type.
   * @param listener - called for each record in the order of offsets. Its last
   *     argument is whether hosts had time to restore newer states after the
   *     log lost records.
   */
  on<Body>(
    type: ZoneRecordType<Body>,
    listener: (body: Body, record: StoredRecord, settled: boolean) => void,
  ): void {
    this.listeners.set(type.type, (body, record, settled) => {
      const parsed = type.body.safeParse(body);
      if (parsed.success) listener(parsed.data, record, settled);
      else this.reportMalformed(record);
    });
  }

  /**
   * Appends a record and waits until it is read back.
   *
   * @param type - type of the record.
   * @param body - content of the record.
   * @param timeoutMs - timeout in milliseconds.
   * @param signal - cancels the append.
   * @returns the record as read back, or the error.
   */
  append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoredRecord, AppendUnknown>> {
    const envelope = {type: type.type, body};
    return this.tail.appendAndReadBack(envelope, timeoutMs, signal);
  }

  /**
   * Appends a record under an id that other hosts may use for it too, so that
   * the log stores it once.
   *
   * @param zone - zone whose stream the record belongs to; may be another zone
   *     than this host's.
   * @param id - id of the record.
   * @param body - envelope of the record.
   * @param signal - cancels the append.
   * @returns whether the log confirmed the record.
   */
  async appendAs(
    zone: string,
    id: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {log} = this.options;
    const answer = await log.append(streamName(zone), [{id, body}], signal);
    return answer.isOk();
  }

  /** Reads the stream until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /** @returns a promise that resolves once the stream was read to its end. */
  caughtUp(): Promise<void> {
    return this.tail.whenCaughtUp();
  }

  private handleRecord(record: StoredRecord, settled: boolean): void {
    const parsed = envelopeSchema.safeParse(record.body);
    if (!parsed.success) return this.reportMalformed(record);
    const listener = this.listeners.get(parsed.data.type);
    if (listener === undefined) return;
    this.state.advance(record.offset);
    listener(parsed.data.body, record, settled);
  }

  private reportMalformed({offset}: StoredRecord): void {
    const {zone} = this.options;
    this.options.logger.warn('zone_record_malformed', {zone, offset});
  }
}

function streamName(zone: string): string {
  return `zone.${zone}`;
}
