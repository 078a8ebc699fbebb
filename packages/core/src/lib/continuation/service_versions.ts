/** Software versions that the targets of each service have run. @packageDocumentation */

import {TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';

/** How long a version is remembered that no target runs any more. */
const MEMORY_MS = 600_000;

/**
 * Age of the list of targets up to which it counts as current: in an older one
 * a version may be missing that runs already.
 */
const MAX_LIST_AGE_MS = 5_000;

/**
 * Interval of checks of a host that waits for others, until it knows the past
 * and afterwards.
 */
const UNINFORMED_IDLE_MS = 250;
const INFORMED_IDLE_MS = 1_000;

/** Stands for a version that is not known; no target runs it. */
export const UNKNOWN_VERSION = '';

/** A version that no target of a service runs any more. */
export interface PastVersion {
  service: string;
  softwareVersion: string;
  /** Time since a target last ran it, in milliseconds. */
  agoMs: number;
}

/** Dependencies of {@link ServiceVersions}. */
export interface ServiceVersionsParts {
  clock: Clock;
  targets: TargetTable;
  /** Age of the list of targets, in milliseconds. */
  listAgeMs: () => number;
}

/** Knows which software versions a stream can have begun at. */
export class ServiceVersions {
  /** Clock times at which versions were last run, by service and version. */
  private readonly lastRunMs = new Map<string, Map<string, number>>();
  private completeSinceMs = Infinity;
  private readonly listeners: Array<() => void> = [];

  /** @param parts - see {@link ServiceVersionsParts}. */
  constructor(private readonly parts: ServiceVersionsParts) {
    parts.targets.onProcessChange(ended => {
      if (ended !== undefined) {
        const {service, softwareVersion = UNKNOWN_VERSION} = ended;
        this.recordRun(service, softwareVersion, 0);
      }
      for (const listener of this.listeners) listener();
    });
  }

  /** @param listener - called when a target comes, goes or changes. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Records that the list of targets is complete from now on. */
  recordListed(): void {
    this.completeSinceMs = Math.min(
      this.completeSinceMs,
      this.parts.clock.now(),
    );
  }

  /** Records that a stream has begun at a version that is not known. */
  recordUnknownRun(service: string): void {
    this.recordRun(service, UNKNOWN_VERSION, 0);
    for (const listener of this.listeners) listener();
  }

  /** Whether the versions of before the start of this host are known. */
  get knowsPast(): boolean {
    return this.completeSinceMs === -Infinity;
  }

  /** Time between checks for what other hosts know, in milliseconds. */
  get idleMs(): number {
    return this.knowsPast ? INFORMED_IDLE_MS : UNINFORMED_IDLE_MS;
  }

  /**
   * Adds what another host, or an earlier process, knows of the past.
   *
   * @param past - versions that were run.
   */
  addPast(past: readonly PastVersion[]): void {
    for (const {service, softwareVersion, agoMs} of past)
      this.recordRun(service, softwareVersion, agoMs);
    this.completeSinceMs = -Infinity;
  }

  /** Returns the versions that no target runs any more. */
  past(): PastVersion[] {
    const nowMs = this.parts.clock.now();
    const past: PastVersion[] = [];
    for (const [service, versions] of this.lastRunMs) {
      const current = this.current(service);
      for (const [softwareVersion, lastMs] of versions) {
        if (nowMs - lastMs > MEMORY_MS) versions.delete(softwareVersion);
        else if (!current.has(softwareVersion))
          past.push({service, softwareVersion, agoMs: nowMs - lastMs});
      }
    }
    return past;
  }

  /** Returns the versions that targets of a service run now. */
  current(service: string): Set<string> {
    const versions = new Set<string>();
    for (const {registration} of this.parts.targets.ofService(service))
      versions.add(registration.softwareVersion ?? UNKNOWN_VERSION);
    return versions;
  }

  /** Returns the services of all targets. */
  services(): Set<string> {
    const services = new Set<string>();
    for (const {registration} of this.parts.targets.all())
      services.add(registration.service);
    return services;
  }

  /**
   * Returns whether a service has run several versions of late.
   *
   * @param service - name of the service.
   * @param withinMs - how far to look back.
   */
  isMixed(service: string, withinMs: number): boolean {
    return this.since(service, withinMs).size > 1;
  }

  /**
   * Returns whether any service has run several versions of late.
   *
   * @param withinMs - how far to look back.
   */
  isAnyMixed(withinMs: number): boolean {
    for (const service of this.services()) {
      if (this.isMixed(service, withinMs)) return true;
    }
    return false;
  }

  /**
   * Returns the version that all streams of a service have begun at.
   *
   * @param service - name of the service.
   * @param withinMs - age up to which streams may go on.
   * @returns the version; undefined if there were several, or if that cannot be
   *     ruled out.
   */
  soleVersion(service: string, withinMs: number): string | undefined {
    const {clock, listAgeMs} = this.parts;
    if (this.completeSinceMs > clock.now() - withinMs) return undefined;
    if (listAgeMs() > MAX_LIST_AGE_MS) return undefined;
    const versions = [...this.since(service, withinMs)];
    const isKnown = versions.length === 1 && versions[0] !== UNKNOWN_VERSION;
    return isKnown ? versions[0] : undefined;
  }

  private since(service: string, withinMs: number): Set<string> {
    const versions = this.current(service);
    const sinceMs = this.parts.clock.now() - withinMs;
    for (const [version, lastMs] of this.lastRunMs.get(service) ?? []) {
      if (lastMs >= sinceMs) versions.add(version);
    }
    return versions;
  }

  private recordRun(service: string, version: string, agoMs: number): void {
    let versions = this.lastRunMs.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.lastRunMs.set(service, versions);
    }
    const lastMs = this.parts.clock.now() - agoMs;
    versions.set(version, Math.max(lastMs, versions.get(version) ?? -Infinity));
  }
}
