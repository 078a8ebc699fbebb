/** Local copy of the configuration that follows the log. @packageDocumentation */

import {Result, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {Logger} from '../telemetry/logger.js';
import {Metrics} from '../telemetry/metrics.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {
  AppendUnknown,
  RecordIdGenerator,
  StreamTail,
} from '../platform/stream_tail.js';
import {ConfigState} from './config_state.js';
import {
  CONFIG_STREAM,
  Publication,
  Verdict,
  publicationSchema,
} from './publication.js';

/** Timeout for reading back a published record from the log. */
const PUBLISH_TIMEOUT_MS = 15_000;

/**
 * Wait of a long-polling read. It is short because an unreachable log is
 * detected only when a read goes unanswered.
 */
const POLL_WAIT_MS = 2_000;

/** Retention of the log if the settings do not specify one. */
export const DEFAULT_RETENTION_MS = 24 * 3_600_000;

/** Dependencies of {@link ConfigStore}. */
export interface ConfigStoreOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  ids: RecordIdGenerator;
  /** Source of the jitter that spreads snapshots over hosts. */
  random?: Random;
  /** Retention of the log, in milliseconds. */
  retentionMs?: number;
}

/** Holds the configuration in force on this host. */
export class ConfigStore {
  /** Configuration state, updated in place as versions are accepted. */
  readonly state = new ConfigState();
  /**
   * Follows the log. Records and snapshots from peers are applied to it too.
   */
  readonly tail: StreamTail;
  private readonly listeners: Array<() => void> = [];
  private notifiedVersion = 0;
  private peerConfirmedAtMs = -Infinity;
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
      onRecord: (record, settled) => this.applyRecord(record, settled),
      onApplied: () => this.notifyChanged(),
      snapshots: {state: this.state, random, retentionMs},
      pollWaitMs: POLL_WAIT_MS,
    });
    void this.tail.whenCaughtUp().then(() => this.markReady());
  }

  /**
   * Follows the log until the signal aborts.
   *
   * @param signal - stops following the log.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /**
   * Waits for the first usable configuration.
   *
   * @returns a promise that resolves once this host holds the newest version in
   *     the log or, if the log is unreachable, the newest version of its peers.
   */
  whenReady(): Promise<void> {
    return this.readyPromise;
  }

  /** Whether the log was read to its end at least once since startup. */
  get hasReadLog(): boolean {
    return this.tail.lastCaughtUpAtMs !== undefined;
  }

  /**
   * Resolves `whenReady` with a configuration from peers while the log is
   * unreachable.
   */
  markReadyFromPeers(): void {
    this.markReady();
  }

  /**
   * Returns the age of the configuration.
   *
   * @returns milliseconds since this host or a peer last read the log to its
   *     end and found no newer record; Infinity if that never happened.
   */
  ageMs(): number {
    const own = this.tail.lastCaughtUpAtMs ?? -Infinity;
    return this.options.clock.now() - Math.max(own, this.peerConfirmedAtMs);
  }

  /**
   * Records that a peer has read the log to its end. Ignored if the peer has
   * read further than this host.
   *
   * @param position - offset up to which the peer has read.
   * @param atMs - clock time at which the log held no further record, in
   *     milliseconds.
   */
  recordPeerConfirmation(position: number, atMs: number): void {
    const {reader} = this.tail;
    if (!reader.hasBase || position > reader.position) return;
    this.peerConfirmedAtMs = Math.max(this.peerConfirmedAtMs, atMs);
  }

  /**
   * Registers a listener for new versions.
   *
   * @param listener - called after each accepted version.
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Publishes changes to the configuration.
   *
   * @param publication - the changes and their base version.
   * @param signal - stops waiting for the verdict.
   * @param id - id chosen by the publisher. Publishing again under the same id
   *     returns the same verdict and changes nothing.
   * @returns the verdict, or an error if it is unknown whether the record was
   *     appended.
   */
  async publish(
    publication: Publication,
    signal: AbortSignal,
    id = this.options.ids.generate(),
  ): Promise<Result<Verdict, AppendUnknown>> {
    const known = this.verdictOf(id);
    if (known !== undefined) return ok(known);
    const appended = await this.tail.appendAndReadBack(
      publication,
      PUBLISH_TIMEOUT_MS,
      signal,
      id,
    );
    return appended.map(() => this.verdictOf(id)!);
  }

  /**
   * Returns the verdict on a publication.
   *
   * @param id - id of the publication's record.
   * @returns the verdict, or undefined if this host has not read the record or
   *     no longer keeps its verdict.
   */
  verdictOf(id: string): Verdict | undefined {
    return this.state.verdictOf(id);
  }

  /** Calls the listeners if the version has changed since the last call. */
  notifyChanged(): void {
    const {version} = this.state;
    if (version === this.notifiedVersion) return;
    this.notifiedVersion = version;
    this.options.metrics.configVersion.set(version);
    for (const listener of this.listeners) listener();
  }

  private applyRecord(
    {id, offset, atMs, body}: StoredRecord,
    settled: boolean,
  ): void {
    const {logger} = this.options;
    const parsed = publicationSchema.safeParse(body);
    if (!parsed.success) {
      logger.warn('config_record_malformed', {offset});
      return;
    }
    const position = {id, offset, settled};
    const {accepted, version} = this.state.apply(parsed.data, atMs, position);
    logger.info('publication_decided', {accepted, version});
  }
}
