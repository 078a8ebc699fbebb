/** A host's copy of the configuration, kept current from the log. @packageDocumentation */

import {Result} from 'neverthrow';
import {Clock} from '../time/clock.js';
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
const MAX_REMEMBERED_VERDICTS = 10_000;

/** What a {@link ConfigStore} works with. */
export interface ConfigStoreOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  ids: RecordIds;
}

/** The configuration in force on this host. */
export class ConfigStore {
  /** The aggregate; it changes in place as versions are accepted. */
  readonly state = new ConfigState();
  private readonly tail: StreamTail;
  private readonly verdicts = new Map<string, Verdict>();
  private readonly listeners: Array<() => void> = [];

  constructor(private readonly options: ConfigStoreOptions) {
    this.tail = new StreamTail({
      ...options,
      stream: CONFIG_STREAM,
      onRecord: record => this.take(record),
    });
  }

  /**
   * Follows the log until the signal aborts.
   *
   * @param signal - ends the work.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.tail.run(signal);
  }

  /** @returns a promise that resolves once the newest version is held. */
  ready(): Promise<void> {
    return this.tail.caughtUp();
  }

  /** @returns milliseconds since the log last confirmed this version. */
  ageMs(): number {
    const last = this.tail.lastCaughtUp;
    return last === undefined ? Infinity : this.options.clock.now() - last;
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
   * @returns the verdict at the record's offset, or that it is unknown.
   */
  async publish(
    publication: Publication,
    signal: AbortSignal,
  ): Promise<Result<Verdict, AppendUnknown>> {
    const seen = await this.tail.appendAndSee(
      publication,
      PUBLISH_BOUND_MS,
      signal,
    );
    return seen.map(record => this.verdictOf(record.id)!);
  }

  /**
   * @param id - id of a publication's record.
   * @returns its verdict, if this host has read the record lately.
   */
  verdictOf(id: string): Verdict | undefined {
    return this.verdicts.get(id);
  }

  private take(record: StoredRecord): void {
    const parsed = publicationSchema.safeParse(record.body);
    if (!parsed.success) {
      const {offset} = record;
      this.options.logger.warn('config_record_malformed', {offset});
      return;
    }
    const verdict = this.state.apply(parsed.data, record.atMs);
    this.rememberVerdict(record.id, verdict);
    const {accepted, version} = verdict;
    this.options.logger.info('publication_decided', {accepted, version});
    if (!accepted) return;
    this.options.metrics.configVersion.set(version);
    for (const listener of this.listeners) listener();
  }

  private rememberVerdict(id: string, verdict: Verdict): void {
    this.verdicts.set(id, verdict);
    if (this.verdicts.size <= MAX_REMEMBERED_VERDICTS) return;
    const oldest = this.verdicts.keys().next().value;
    if (oldest !== undefined) this.verdicts.delete(oldest);
  }
}
