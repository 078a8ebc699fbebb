/** Keeps the origins of streams in an archive. @packageDocumentation */

import {StoredEntries} from '../archive/stored_entries.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {OriginArchive} from './origin_archive.js';
import {OriginExchange} from './origin_exchange.js';
import {ServiceVersions} from './service_versions.js';
import {
  ORIGIN_LIFETIME_MS,
  OriginGroup,
  mergeGroups,
} from './stream_origins.js';

/** Time in which streams are collected for one call to the archive. */
const WRITE_INTERVAL_MS = 100;

/** Delay after a failed call; each call to the archive is priced. */
const RETRY_DELAY_MS = 1_000;

/** Most streams that wait to be written. */
const MAX_UNWRITTEN = 16_384;

/** Dependencies of an {@link OriginKeeper}. */
export interface OriginKeeperParts {
  clock: Clock;
  logger: Logger;
  versions: ServiceVersions;
  exchange: OriginExchange;
  archive: OriginArchive;
  /** Whether this host decides for all, and has read the list of targets. */
  isDeciding: () => boolean;
}

/**
 * Writes the streams that the deciding host passes on to the archive, and reads
 * them when a host begins to decide while a service runs several versions. What
 * the archive may have lost is written again.
 */
export class OriginKeeper {
  private unwritten: OriginGroup[] = [];
  /** What was read, with software versions; undefined before that. */
  private stored: StoredEntries<string> | undefined;

  /** @param parts - see {@link OriginKeeperParts}. */
  constructor(private readonly parts: OriginKeeperParts) {
    parts.exchange.onPass(groups => this.add(groups));
  }

  /**
   * Reads and writes the archive until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, versions} = this.parts;
    while (!signal.aborted) {
      if (!this.isNeeded()) {
        await clock.sleep(versions.idleMs, signal);
        continue;
      }
      const isDone = await this.update(signal);
      await clock.sleep(isDone ? WRITE_INTERVAL_MS : RETRY_DELAY_MS, signal);
    }
  }

  private add(groups: readonly OriginGroup[]): void {
    const merged = mergeGroups([...this.unwritten, ...groups]);
    const count = merged.reduce((sum, {keys}) => sum + keys.length, 0);
    // What waits to be written is among these as well, and they are bounded.
    this.unwritten =
      count <= MAX_UNWRITTEN ? merged : this.parts.exchange.mixedStreams();
  }

  /** Returns whether this host decides and any service is mixed. */
  private isNeeded(): boolean {
    const {isDeciding, versions} = this.parts;
    if (!isDeciding()) {
      this.stored = undefined;
      this.unwritten = [];
      return false;
    }
    return versions.knowsPast && versions.isAnyMixed(ORIGIN_LIFETIME_MS);
  }

  /** Makes the calls that are due; returns whether none failed. */
  private async update(signal: AbortSignal): Promise<boolean> {
    if (this.stored === undefined && !(await this.read(signal))) return false;
    if (this.stored?.isCurrent === false) {
      this.stored = new StoredEntries(this.parts.archive);
      this.unwritten = this.parts.exchange.mixedStreams();
    }
    return this.write(signal);
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const {archive, exchange, logger} = this.parts;
    const archived = await archive.read(signal);
    if (archived.isErr()) return false;
    const {content, era} = archived.value;
    const stored = new StoredEntries<string>(archive, era);
    for (const {keys, softwareVersion} of content)
      for (const key of keys) stored.set(key, softwareVersion);
    this.stored = stored;
    exchange.addArchived(content);
    this.unwritten = exchange
      .mixedStreams()
      .map(({keys, ...origin}) => ({
        ...origin,
        keys: keys.filter(key => stored.get(key) === undefined),
      }))
      .filter(({keys}) => keys.length > 0);
    const streams = content.reduce((sum, {keys}) => sum + keys.length, 0);
    logger.info('stream_origins_read', {streams});
    return true;
  }

  private async write(signal: AbortSignal): Promise<boolean> {
    const groups = this.unwritten;
    if (groups.length === 0) return true;
    this.unwritten = [];
    const written = await this.parts.archive.write(groups, signal);
    if (written.isOk()) return true;
    this.add(groups);
    return false;
  }
}
