/** The log stream of one availability zone. @packageDocumentation */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {AppendUnknown, RecordIds, StreamTail} from '../platform/stream_tail.js';
import {Random} from '../time/random.js';
import {ZoneState, ZoneStatePart} from './zone_state.js';

const envelopeSchema = z.object({type: z.string(), body: z.unknown()});

/** A type of record on a zone's stream. */
export interface ZoneRecordType<Body> {
  type: string;
  body: z.ZodType<Body>;
}

/** What a {@link ZoneStream} works with. */
export interface ZoneStreamOptions {
  zone: string;
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIds;
  /** Makes the stream outlive the log's retention. */
  snapshots?: {random: Random; retentionMs: number};
}

/** Appends records to the zone's stream. */
export interface ZoneRecordWriter {
  /**
   * @param type - type of the record.
   * @param body - its content.
   * @param boundMs - how long to try, in milliseconds.
   * @param signal - gives up early.
   */
  append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    boundMs: number,
    signal: AbortSignal,
  ): Promise<Result<unknown, AppendUnknown>>;
}

type Listener = (body: unknown, record: StoredRecord, settled: boolean) => void;

/** Joins, leases and replica decisions of one zone, in their order. */
export class ZoneStream implements ZoneRecordWriter {
  private readonly tail: StreamTail;
  private readonly listeners = new Map<string, Listener>();
  private readonly state = new ZoneState();
  private isTruncated = false;

  constructor(private readonly options: ZoneStreamOptions) {
    this.tail = new StreamTail({
      ...options,
      stream: streamOf(options.zone),
      onRecord: (record, settled) => this.take(record, settled),
      onApplied: () => this.state.notifyRestored(),
      snapshots: options.snapshots && {
        ...options.snapshots,
        state: this.state,
      },
      onGap: () => {
        this.isTruncated = true;
      },
    });
  }

  /** Whether records had expired before this host could read them. */
  get truncated(): boolean {
    return this.isTruncated;
  }

  /** Name of the zone. */
  get zone(): string {
    return this.options.zone;
  }

  /** Adds what a snapshot of the stream holds. */
  keep(name: string, part: ZoneStatePart): void {
    this.state.add(name, part);
  }

  /**
   * Sets the listener of a type of record; each type has one.
   *
   * @param type - the type.
   * @param listener - called for each record in the order of offsets, with
   *     whether hosts had time to put newer states back after a loss.
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
   * @param body - its content.
   * @param boundMs - how long to try, in milliseconds.
   * @param signal - gives up early.
   */
  append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    boundMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoredRecord, AppendUnknown>> {
    const envelope = {type: type.type, body};
    return this.tail.appendAndSee(envelope, boundMs, signal);
  }

  /**
   * Appends a record under an id that other hosts may append as well.
   *
   * @param zone - zone to whose stream it belongs, this host's or another.
   * @param id - id of the record.
   * @param body - its envelope.
   * @param signal - gives up.
   * @returns whether the log said that it holds the record.
   */
  async appendAs(
    zone: string,
    id: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {log} = this.options;
    const answer = await log.append(streamOf(zone), [{id, body}], signal);
    return answer.isOk();
  }

  /** Follows the stream until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /** @returns a promise that resolves once the whole stream was read. */
  caughtUp(): Promise<void> {
    return this.tail.caughtUp();
  }

  private take(record: StoredRecord, settled: boolean): void {
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

function streamOf(zone: string): string {
  return `zone.${zone}`;
}
