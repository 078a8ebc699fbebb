/** Records that members keep while the log is unreachable. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {AppendUnknown, RecordIds} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {MemberTable} from './member_table.js';
import {ZoneRecordType, ZoneRecordWriter, ZoneStream} from './zone_stream.js';

const FLUSH_INTERVAL_MS = 1_000;
const ENTRUST_TIMEOUT_MS = 2_000;
const MAX_RECORDS = 10_000;

/** So many hosts of other zones keep what a host alone in its zone decides. */
const KEEPERS_ELSEWHERE = 2;

const entrustedSchema = z.object({
  id: z.string(),
  /** Zone to whose stream it belongs. */
  zone: z.string(),
  /** Body of the record on the zone's stream. */
  body: z.unknown(),
});

/** The holder of the lease asks a member to keep a record for the log. */
export const ENTRUST: PeerMethod<
  z.output<typeof entrustedSchema>,
  {kept: boolean}
> = {
  name: 'zone.entrust',
  body: entrustedSchema,
  event: z.object({kept: z.boolean()}),
};

/** What {@link EntrustedRecords} work with. */
export interface EntrustedRecordsOptions {
  stream: ZoneStream;
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  ids: RecordIds;
  /** Whether the platform has removed a host for good. */
  isGone: (host: string) => boolean;
  /** Whether consent alone upholds this host's lease. */
  isByConsent: () => boolean;
}

interface Kept {
  zone: string;
  body: unknown;
}

/**
 * Records what a holder decides. While consent alone upholds its lease, every
 * other known member keeps the record first; all of them write it to the log
 * once they reach it, under one id, so that it stands there once. A member
 * claims the lease only after it has written what it keeps.
 *
 * A host that is alone in its zone has nobody there who would outlive it: a
 * host of another zone keeps the record then, or the log itself has to.
 */
export class EntrustedRecords implements ZoneRecordWriter {
  private readonly kept = new Map<string, Kept>();

  constructor(private readonly options: EntrustedRecordsOptions) {
    options.network.serveUnary(ENTRUST, ({id, zone, body}) => ({
      kept: this.keep(id, {zone, body}),
    }));
  }

  /** Number of records that wait for the log. */
  get size(): number {
    return this.kept.size;
  }

  /**
   * @param type - type of the record.
   * @param body - its content.
   * @param boundMs - how long to try the log, in milliseconds.
   * @param signal - gives up.
   * @returns nothing once the log, every other member or, if there is none, a
   *     host of another zone holds the record.
   */
  async append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    boundMs: number,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    const {stream, ids, isByConsent, isGone, members, network} = this.options;
    if (isByConsent()) {
      const kept = {zone: stream.zone, body: {type: type.type, body}};
      const others = members.others(network.self.host, isGone);
      if (others.length > 0) {
        return this.entrustAll(others, ids.take(), kept, signal);
      }
      if (await this.entrustElsewhere(ids.take(), kept, signal)) {
        return ok(undefined);
      }
    }
    const stored = await stream.append(type, body, boundMs, signal);
    return stored.map(() => undefined);
  }

  /** Writes kept records until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await clock.every(FLUSH_INTERVAL_MS, signal, async () => {
      await this.flush(signal);
    });
  }

  /**
   * Writes every kept record to the log.
   *
   * @returns whether none is left.
   */
  async flush(signal: AbortSignal): Promise<boolean> {
    const {stream} = this.options;
    for (const [id, {zone, body}] of this.kept) {
      if (!(await stream.appendAs(zone, id, body, signal))) break;
      this.kept.delete(id);
    }
    return this.kept.size === 0;
  }

  private keep(id: string, kept: Kept): boolean {
    if (this.kept.size >= MAX_RECORDS) return false;
    this.kept.set(id, kept);
    return true;
  }

  private async entrustAll(
    others: ReadonlyArray<{host: string}>,
    id: string,
    kept: Kept,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    this.keep(id, kept);
    const answers = await this.askToKeep(others, id, kept, signal);
    if (answers.every(isKept => isKept)) return ok(undefined);
    const message = 'not every member keeps the record';
    return err({type: 'append-unknown', id, message});
  }

  /** @returns whether a host of another zone keeps the record. */
  private async entrustElsewhere(
    id: string,
    kept: Kept,
    signal: AbortSignal,
  ): Promise<boolean> {
    const others = this.options.network
      .connected()
      .filter(({zone}) => zone !== kept.zone)
      .slice(0, KEEPERS_ELSEWHERE);
    const answers = await this.askToKeep(others, id, kept, signal);
    if (!answers.some(isKept => isKept)) return false;
    this.keep(id, kept);
    return true;
  }

  private askToKeep(
    hosts: ReadonlyArray<{host: string}>,
    id: string,
    {zone, body}: Kept,
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
