/** The log stream of one availability zone. @packageDocumentation */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {AppendUnknown, RecordIds, StreamTail} from '../platform/stream_tail.js';

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
}

type Listener = (body: unknown, record: StoredRecord) => void;

/** Joins, leases and replica decisions of one zone, in their order. */
export class ZoneStream {
  private readonly tail: StreamTail;
  private readonly listeners = new Map<string, Listener>();
  private isTruncated = false;

  constructor(private readonly options: ZoneStreamOptions) {
    this.tail = new StreamTail({
      ...options,
      stream: `zone.${options.zone}`,
      onRecord: record => this.take(record),
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

  /**
   * Sets the listener of a type of record; each type has one.
   *
   * @param type - the type.
   * @param listener - called for each record in the order of offsets.
   */
  on<Body>(
    type: ZoneRecordType<Body>,
    listener: (body: Body, record: StoredRecord) => void,
  ): void {
    this.listeners.set(type.type, (body, record) => {
      const parsed = type.body.safeParse(body);
      if (parsed.success) listener(parsed.data, record);
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

  /** Follows the stream until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /** @returns a promise that resolves once the whole stream was read. */
  caughtUp(): Promise<void> {
    return this.tail.caughtUp();
  }

  private take(record: StoredRecord): void {
    const parsed = envelopeSchema.safeParse(record.body);
    if (!parsed.success) return this.reportMalformed(record);
    this.listeners.get(parsed.data.type)?.(parsed.data.body, record);
  }

  private reportMalformed({offset}: StoredRecord): void {
    const {zone} = this.options;
    this.options.logger.warn('zone_record_malformed', {zone, offset});
  }
}
