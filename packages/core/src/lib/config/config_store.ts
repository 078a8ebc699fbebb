/** A host's copy of the configuration, kept current from the log. @packageDocumentation */

import {Result, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {Logger} from '../telemetry/logger.js';
import {Metrics} from '../telemetry/metrics.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {AppendUnknown, RecordIds, StreamTail} from '../platform/stream_tail.js';
import {ConfigState} from './config_state.js';
import {
  CONFIG_STREAM,
  Publication,
  Verdict,
  publicationSchema,
} from './publication.js';

/** How long a publication may take to be seen, in milliseconds. */
const PUBLISH_BOUND_MS = 15_000;

/** Short, since an unanswered read is what tells that the log is silent. */
const POLL_WAIT_MS = 2_000;

/** How long the log keeps records unless the settings say so. */
export const DEFAULT_RETENTION_MS = 24 * 3_600_000;

/** What a {@link ConfigStore} works with. */
export interface ConfigStoreOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  ids: RecordIds;
  /** Spreads snapshots over hosts. */
  random?: Random;
  /** How long the log keeps records, in milliseconds. */
  retentionMs?: number;
}

/** The configuration in force on this host. */
export class ConfigStore {
  /** The aggregate; it changes in place as versions are accepted. */
  readonly state = new ConfigState();
  /** Follows the log; peers may hand it records and snapshots too. */
  readonly tail: StreamTail;
  private readonly listeners: Array<() => void> = [];
  private notifiedVersion = 0;
  private confirmedByPeersMs = -Infinity;
  private markReady = () => {};
  private readonly readyPromise = new Promise<void>(resolve => {
    this.markReady = resolve;
  });

  constructor(private readonly options: ConfigStoreOptions) {
    const {random = new Random(1), retentionMs = DEFAULT_RETENTION_MS} =
      options;
    this.tail = new StreamTail({
      ...options,
      stream: CONFIG_STREAM,
      onRecord: (record, settled) => this.take(record, settled),
      onApplied: () => this.notifyChanged(),
      snapshots: {state: this.state, random, retentionMs},
      pollWaitMs: POLL_WAIT_MS,
    });
    void this.tail.caughtUp().then(() => this.markReady());
  }

  /**
   * Follows the log until the signal aborts.
   *
   * @param signal - ends the work.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /**
   * @returns a promise that resolves once the newest version is held that the
   *     log, or failing that the peers, can give.
   */
  ready(): Promise<void> {
    return this.readyPromise;
  }

  /** Whether the log was read to its end since the start. */
  get isFromLog(): boolean {
    return this.tail.lastCaughtUp !== undefined;
  }

  /** Says that, the log being out of reach, the peers' newest is held. */
  readyFromPeers(): void {
    this.markReady();
  }

  /**
   * @returns milliseconds since the log is known to have held nothing newer,
   *     be it by this host's own read or by that of a peer.
   */
  ageMs(): number {
    const own = this.tail.lastCaughtUp ?? -Infinity;
    return this.options.clock.now() - Math.max(own, this.confirmedByPeersMs);
  }

  /**
   * Takes a peer's word that the log held nothing newer.
   *
   * @param position - offset up to which the peer has read.
   * @param atMs - clock time at which the log had no more, in milliseconds.
   */
  confirm(position: number, atMs: number): void {
    const {reader} = this.tail;
    if (!reader.hasBase || position > reader.position) return;
    this.confirmedByPeersMs = Math.max(this.confirmedByPeersMs, atMs);
  }

  /** @param listener - called after each accepted version. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Publishes a delta.
   *
   * @param publication - the delta and its base.
   * @param signal - gives up waiting.
   * @param id - id chosen by the publisher; publishing again under the same
   *     id gives the same verdict and changes nothing.
   * @returns the verdict at the record's offset, or that it is unknown.
   */
  async publish(
    publication: Publication,
    signal: AbortSignal,
    id = this.options.ids.take(),
  ): Promise<Result<Verdict, AppendUnknown>> {
    const known = this.verdictOf(id);
    if (known !== undefined) return ok(known);
    const seen = await this.tail.appendAndSee(
      publication,
      PUBLISH_BOUND_MS,
      signal,
      id,
    );
    return seen.map(() => this.verdictOf(id)!);
  }

  /**
   * @param id - id of a publication's record.
   * @returns its verdict, if this host has read the record lately.
   */
  verdictOf(id: string): Verdict | undefined {
    return this.state.verdictOf(id);
  }

  /** Tells the listeners if the version has changed since the last call. */
  notifyChanged(): void {
    const {version} = this.state;
    if (version === this.notifiedVersion) return;
    this.notifiedVersion = version;
    this.options.metrics.configVersion.set(version);
    for (const listener of this.listeners) listener();
  }

  private take({id, offset, atMs, body}: StoredRecord, settled: boolean): void {
    const {logger} = this.options;
    const parsed = publicationSchema.safeParse(body);
    if (!parsed.success) {
      logger.warn('config_record_malformed', {offset});
      return;
    }
    const place = {id, offset, settled};
    const {accepted, version} = this.state.apply(parsed.data, atMs, place);
    logger.info('publication_decided', {accepted, version});
  }
}
