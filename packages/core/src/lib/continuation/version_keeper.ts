/** Keeps the software versions of services in an archive. @packageDocumentation */

import {ArchiveLoss} from '../archive/archive_loss.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {ServiceVersions} from './service_versions.js';
import {ArchivedVersions, VersionArchive} from './version_archive.js';

/** Interval of checks for changes to store. */
const CHECK_INTERVAL_MS = 500;

/** Delay after a failed call; each call to the archive is priced. */
const RETRY_DELAY_MS = 1_000;

/** Dependencies of a {@link VersionKeeper}. */
export interface VersionKeeperParts {
  clock: Clock;
  logger: Logger;
  versions: ServiceVersions;
  archive: VersionArchive;
  /** Whether this host decides for all, and has read the list of targets. */
  isDeciding: () => boolean;
}

/**
 * Reads the archive when the host begins to decide for all, and writes to it
 * when a service begins or ceases to run a version. What the archive may have
 * lost is written again.
 */
export class VersionKeeper {
  /** What is stored of each service; undefined if that is not known. */
  private stored: Map<string, string> | undefined;
  private readonly loss: ArchiveLoss;

  /** @param parts - see {@link VersionKeeperParts}. */
  constructor(private readonly parts: VersionKeeperParts) {
    this.loss = new ArchiveLoss(parts.archive);
  }

  /**
   * Reads and writes the archive until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, isDeciding, versions} = this.parts;
    while (!signal.aborted) {
      if (!isDeciding()) {
        this.stored = undefined;
        await clock.sleep(versions.idleMs, signal);
        continue;
      }
      const isDone = await this.update(signal);
      await clock.sleep(isDone ? CHECK_INTERVAL_MS : RETRY_DELAY_MS, signal);
    }
  }

  /** Makes the calls that are due; returns whether none failed. */
  private async update(signal: AbortSignal): Promise<boolean> {
    if (this.stored === undefined && !(await this.read(signal))) return false;
    // The past may be lost even where the present is as stored.
    if (this.loss.take()) this.stored?.clear();
    return this.write(signal);
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const {archive, versions} = this.parts;
    const archived = await archive.read(signal);
    if (archived.isErr()) return false;
    const {content, era} = archived.value;
    this.loss.recordRead(era);
    if (!versions.knowsPast && isOlderCopy(content, era))
      this.recordUnknownRuns();
    this.stored = new Map();
    for (const entry of content) {
      this.stored.set(entry.service, summaryOf(entry));
      const running = versions.current(entry.service);
      // Nobody knows when the last target that ran it has ended.
      const gone = entry.current.filter(version => !running.has(version));
      const {service} = entry;
      const past = gone.map(softwareVersion => ({softwareVersion, agoMs: 0}));
      versions.addPast(past.map(each => ({service, ...each})));
      versions.addPast(entry.past);
    }
    versions.addPast([]);
    return true;
  }

  /** Records that streams may have begun at versions that nobody knows. */
  private recordUnknownRuns(): void {
    const {logger, versions} = this.parts;
    const services = [...versions.services()];
    for (const service of services) versions.recordUnknownRun(service);
    logger.warn('software_versions_lost', {services: services.join(',')});
  }

  private async write(signal: AbortSignal): Promise<boolean> {
    const {archive, logger, versions} = this.parts;
    const past = versions.past();
    const changed: ArchivedVersions[] = [];
    for (const service of versions.services()) {
      const entry = {
        service,
        era: archive.era,
        current: [...versions.current(service)].sort(),
        past: past.filter(version => version.service === service),
      };
      if (this.stored?.get(service) !== summaryOf(entry)) changed.push(entry);
    }
    if (changed.length === 0) return true;
    const written = await archive.write(changed, signal);
    if (written.isErr()) {
      // They may have been stored all the same.
      this.stored = undefined;
      return false;
    }
    for (const entry of changed)
      this.stored?.set(entry.service, summaryOf(entry));
    logger.info('software_versions_stored', {
      services: changed.map(formatVersions).join(','),
    });
    return true;
  }
}

/**
 * Returns whether an archive came back from an older copy and was not written
 * again since. Only the deciding host writes, and then all that it knows.
 */
function isOlderCopy(
  content: readonly ArchivedVersions[],
  era: number,
): boolean {
  return content.length > 0 && content.every(entry => entry.era !== era);
}

function summaryOf({current}: ArchivedVersions): string {
  return JSON.stringify([...current].sort());
}

function formatVersions({current, service}: ArchivedVersions): string {
  return `${service}:${current.join('/')}`;
}
