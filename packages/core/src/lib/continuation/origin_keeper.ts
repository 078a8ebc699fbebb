/** Keeps the origins of streams in an archive. @packageDocumentation */

import {ArchiveLoss} from '../archive/archive_loss.js';
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
  private hasRead = false;
  private readonly loss: ArchiveLoss;

  /** @param parts - see {@link OriginKeeperParts}. */
  constructor(private readonly parts: OriginKeeperParts) {
    this.loss = new ArchiveLoss(parts.archive);
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
    if (count <= MAX_UNWRITTEN) this.unwritten = merged;
  }

  /** Returns whether this host decides and any service is mixed. */
  private isNeeded(): boolean {
    const {isDeciding, versions} = this.parts;
    if (!isDeciding()) {
      this.hasRead = false;
      this.unwritten = [];
      return false;
    }
    return versions.knowsPast && versions.isAnyMixed(ORIGIN_LIFETIME_MS);
  }

  /** Makes the calls that are due; returns whether none failed. */
  private async update(signal: AbortSignal): Promise<boolean> {
    if (!this.hasRead && !(await this.read(signal))) return false;
    // What waits to be written is among these as well.
    if (this.loss.take()) this.unwritten = this.parts.exchange.mixedStreams();
    return this.write(signal);
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const {archive, exchange, logger} = this.parts;
    const archived = await archive.read(signal);
    if (archived.isErr()) return false;
    this.hasRead = true;
    const {content, era} = archived.value;
    this.loss.recordRead(era);
    exchange.addArchived(content);
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
