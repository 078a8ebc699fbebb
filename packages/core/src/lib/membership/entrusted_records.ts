/** Replication of records to members while the log is unreachable. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {AppendUnknown, RecordIdGenerator} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {MemberTable} from './member_table.js';
import {ZoneRecordType, ZoneRecordWriter, ZoneStream} from './zone_stream.js';

const FLUSH_INTERVAL_MS = 1_000;
const ENTRUST_TIMEOUT_MS = 2_000;
const MAX_RECORDS = 10_000;

/**
 * Number of hosts of other zones that are asked to keep a record of a host that
 * is alone in its zone.
 */
const REMOTE_KEEPER_COUNT = 2;

const entrustedSchema = z.object({
  id: z.string(),
  /** Zone whose stream the record belongs to. */
  zone: z.string(),
  /** Envelope of the record on the zone's stream. */
  body: z.unknown(),
});

/** Asks a host to keep a record and to append it to the log later. */
export const ENTRUST: PeerMethod<
  z.output<typeof entrustedSchema>,
  {kept: boolean}
> = {
  name: 'zone.entrust',
  body: entrustedSchema,
  event: z.object({kept: z.boolean()}),
};

/** Options of {@link EntrustedRecords}. */
export interface EntrustedRecordsOptions {
  stream: ZoneStream;
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  ids: RecordIdGenerator;
  /** Whether the platform has permanently removed a host. */
  isGone: (host: string) => boolean;
  /** Whether this host's lease is extended by consent alone. */
  isByConsent: () => boolean;
}

interface KeptRecord {
  zone: string;
  body: unknown;
}

/**
 * Records the decisions of a lease holder, by hinted handoff if the log is
 * unreachable. While the lease is extended by consent alone, a record counts as
 * stored once every other known member keeps it. All of them append it to the
 * log as soon as they reach it, under one id, so that the log stores it once. A
 * member claims the lease only after it has appended the records that it keeps.
 *
 * If a host is alone in its zone, no other member would outlive it. The record
 * must then be kept by a host of another zone or be stored in the log itself.
 */
export class EntrustedRecords implements ZoneRecordWriter {
  private readonly kept = new Map<string, KeptRecord>();

  constructor(private readonly options: EntrustedRecordsOptions) {
    options.network.serveUnary(ENTRUST, ({id, zone, body}) => ({
      kept: this.keep(id, {zone, body}),
    }));
  }

  /** Number of kept records that are not in the log yet. */
  get size(): number {
    return this.kept.size;
  }

  /**
   * Stores a record in the log, at every other member or, if there is none, at
   * a host of another zone.
   *
   * @param type - type of the record.
   * @param body - content of the record.
   * @param timeoutMs - timeout of the append to the log, in milliseconds.
   * @param signal - cancels the work.
   * @returns nothing once the record is stored, or the error.
   */
  async append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    const {stream, ids, isByConsent, isGone, members, network} = this.options;
    if (isByConsent()) {
      const kept = {zone: stream.zone, body: {type: type.type, body}};
      const others = members.others(network.self.host, isGone);
      if (others.length > 0) {
        return this.entrustToMembers(others, ids.generate(), kept, signal);
      }
      if (await this.entrustToOtherZones(ids.generate(), kept, signal)) {
        return ok(undefined);
      }
    }
    const stored = await stream.append(type, body, timeoutMs, signal);
    return stored.map(() => undefined);
  }

  /** Appends kept records to the log until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await clock.every(FLUSH_INTERVAL_MS, signal, async () => {
      await this.flush(signal);
    });
  }

  /**
   * Appends every kept record to the log.
   *
   * @param signal - cancels the appends.
   * @returns whether all kept records are in the log.
   */
  async flush(signal: AbortSignal): Promise<boolean> {
    const {stream} = this.options;
    for (const [id, {zone, body}] of this.kept) {
      if (!(await stream.appendAs(zone, id, body, signal))) break;
      this.kept.delete(id);
    }
    return this.kept.size === 0;
  }

  private keep(id: string, kept: KeptRecord): boolean {
    if (this.kept.size >= MAX_RECORDS) return false;
    this.kept.set(id, kept);
    return true;
  }

  private async entrustToMembers(
    others: ReadonlyArray<{host: string}>,
    id: string,
    kept: KeptRecord,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    this.keep(id, kept);
    const answers = await this.askToKeep(others, id, kept, signal);
    if (answers.every(isKept => isKept)) return ok(undefined);
    const message =
      'at least one member did not confirm that it keeps the record';
    return err({type: 'append-unknown', id, message});
  }

  /** @returns whether at least one host of another zone keeps the record. */
  private async entrustToOtherZones(
    id: string,
    kept: KeptRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    const others = this.options.network
      .connected()
      .filter(({zone}) => zone !== kept.zone)
      .slice(0, REMOTE_KEEPER_COUNT);
    const answers = await this.askToKeep(others, id, kept, signal);
    if (!answers.some(isKept => isKept)) return false;
    this.keep(id, kept);
    return true;
  }

  private askToKeep(
    hosts: ReadonlyArray<{host: string}>,
    id: string,
    {zone, body}: KeptRecord,
    signal: AbortSignal,
  ): Promise<boolean[]> {
    const {network} = this.options;
    const options = {timeoutMs: ENTRUST_TIMEOUT_MS, signal};
    return Promise.all(
      hosts.map(async ({host}) => {
        const answer = await network.call(
          host,
          ENTRUST,
          {id, zone, body},
          options,
        );
        return answer.isOk() && answer.value.kept;
      }),
    );
  }
}
