/** Keeps the software versions of services in an archive. @packageDocumentation */

import {StoredEntries} from '../archive/stored_entries.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {ServiceVersions} from './service_versions.js';
import {ArchivedVersions, VersionArchive} from './version_archive.js';

/** Interval of checks for changes to store. */
const CHECK_INTERVAL_MS = 500;

/** Delay after a failed call; each call to the archive is priced. */
const RETRY_DELAY_MS = 1_000;

/** Times of the same run may differ by this: hosts date runs by their clocks. */
const RUN_TOLERANCE_MS = 1_000;

/** What is stored of one service. */
interface StoredVersions {
  /** Sorted current versions, as JSON. */
  current: string;
  /** Clock times at which past versions were last run. */
  lastRunMs: ReadonlyMap<string, number>;
}

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
  private stored: StoredEntries<StoredVersions> | undefined;

  /** @param parts - see {@link VersionKeeperParts}. */
  constructor(private readonly parts: VersionKeeperParts) {}

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
    if (this.stored?.isCurrent === false)
      this.stored = new StoredEntries(this.parts.archive);
    return this.write(signal);
  }

  private async read(signal: AbortSignal): Promise<boolean> {
    const {archive, versions} = this.parts;
    const archived = await archive.read(signal);
    if (archived.isErr()) return false;
    const {content, era} = archived.value;
    if (!versions.knowsPast) this.recordUnknownRuns(content, era);
    this.stored = new StoredEntries(archive, era);
    for (const entry of content) {
      // One of an earlier era stems from the copy, and newer ones may be lost.
      if (entry.era === era) this.stored.set(entry.service, this.date(entry));
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

  /**
   * Records that streams may have begun at versions that nobody knows, for each
   * service without an entry of this era: the deciding host writes all that it
   * knows again in each.
   */
  private recordUnknownRuns(
    content: readonly ArchivedVersions[],
    era: number,
  ): void {
    // Nothing has run before the first start of all.
    if (content.length === 0) return;
    const {logger, versions} = this.parts;
    const lost = versions.services();
    for (const entry of content) lost.add(entry.service);
    for (const entry of content)
      if (entry.era === era) lost.delete(entry.service);
    if (lost.size === 0) return;
    for (const service of lost) versions.recordUnknownRun(service);
    logger.warn('software_versions_lost', {services: [...lost].join(',')});
  }

  private async write(signal: AbortSignal): Promise<boolean> {
    const {archive, logger, versions} = this.parts;
    const past = versions.past();
    const changed: ArchivedVersions[] = [];
    const services = versions.services();
    for (const {service} of past) services.add(service);
    for (const service of services) {
      const entry = {
        service,
        era: archive.era,
        current: [...versions.current(service)].sort(),
        past: past.filter(version => version.service === service),
      };
      const stored = this.stored?.get(service);
      if (!isStored(this.date(entry), stored)) changed.push(entry);
    }
    if (changed.length === 0) return true;
    const dated = changed.map(entry => this.date(entry));
    const written = await archive.write(changed, signal);
    if (written.isErr()) {
      // They may have been stored all the same.
      this.stored = undefined;
      return false;
    }
    for (const [i, {service}] of changed.entries())
      this.stored?.set(service, dated[i]);
    logger.info('software_versions_stored', {
      services: changed.map(formatVersions).join(','),
    });
    return true;
  }

  private date({current, past}: ArchivedVersions): StoredVersions {
    const nowMs = this.parts.clock.now();
    const lastRunMs = new Map(
      past.map(({agoMs, softwareVersion}) => [softwareVersion, nowMs - agoMs]),
    );
    return {current: JSON.stringify([...current].sort()), lastRunMs};
  }
}

/** Returns whether an archive holds all that is known of a service. */
function isStored(
  known: StoredVersions,
  stored: StoredVersions | undefined,
): boolean {
  if (stored?.current !== known.current) return false;
  for (const [version, knownMs] of known.lastRunMs) {
    const storedMs = stored.lastRunMs.get(version) ?? -Infinity;
    if (storedMs < knownMs - RUN_TOLERANCE_MS) return false;
  }
  return true;
}

function formatVersions({current, service}: ArchivedVersions): string {
  return `${service}:${current.join('/')}`;
}
