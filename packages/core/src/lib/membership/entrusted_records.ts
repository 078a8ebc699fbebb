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

const entrustedSchema = z.object({
  id: z.string(),
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

/**
 * Records what a holder decides. While consent alone upholds its lease, every
 * other known member keeps the record first; all of them write it to the log
 * once they reach it, under one id, so that it stands there once. A member
 * claims the lease only after it has written what it keeps.
 */
export class EntrustedRecords implements ZoneRecordWriter {
  private readonly kept = new Map<string, unknown>();

  constructor(private readonly options: EntrustedRecordsOptions) {
    options.network.serveUnary(ENTRUST, ({id, body}) => ({
      kept: this.keep(id, body),
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
   * @returns nothing once the log or every member holds the record.
   */
  async append<Body>(
    type: ZoneRecordType<Body>,
    body: Body,
    boundMs: number,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    const {stream, ids, isByConsent} = this.options;
    if (!isByConsent()) {
      const stored = await stream.append(type, body, boundMs, signal);
      return stored.map(() => undefined);
    }
    const id = ids.take();
    return this.entrust(id, {type: type.type, body}, signal);
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
    for (const [id, body] of this.kept) {
      if (!(await stream.appendAs(id, body, signal))) break;
      this.kept.delete(id);
    }
    return this.kept.size === 0;
  }

  private keep(id: string, body: unknown): boolean {
    if (this.kept.size >= MAX_RECORDS) return false;
    this.kept.set(id, body);
    return true;
  }

  private async entrust(
    id: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Result<void, AppendUnknown>> {
    const {members, network, isGone} = this.options;
    this.keep(id, body);
    const others = members
      .known()
      .filter(({host}) => host !== network.self.host && !isGone(host));
    const answers = await Promise.all(
      others.map(({host}) =>
        network.call(
          host,
          ENTRUST,
          {id, body},
          {timeoutMs: ENTRUST_TIMEOUT_MS, signal},
        ),
      ),
    );
    const isKept = answers.every(answer => answer.isOk() && answer.value.kept);
    if (isKept) return ok(undefined);
    const message = 'not every member keeps the record';
    return err({type: 'append-unknown', id, message});
  }
}
