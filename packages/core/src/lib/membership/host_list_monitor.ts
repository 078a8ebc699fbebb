/** Polling of the platform's host list. @packageDocumentation */

import {HostList, ListedHost} from '../platform/host_list.js';
import {Clock} from '../time/clock.js';
import {Member, MemberTable} from './member_table.js';

/** Time between polls at the zone's controller, in milliseconds. */
export const CONTROLLER_POLL_MS = 1_000;

const MEMBER_POLL_MS = 10_000;

/**
 * Time for which a joined host must be missing from the list to count as
 * removed, in milliseconds. The list shows new hosts with a delay.
 */
export const HOST_LIST_LAG_MS = 15_000;

/** Options of a {@link HostListMonitor}. */
export interface HostListMonitorOptions {
  /**
   * Undefined if the settings name no host list; then no host counts as gone.
   */
  list: HostList | undefined;
  members: MemberTable;
  clock: Clock;
  /**
   * Whether this host is the controller, which must detect leaving targets
   * fast.
   */
  isController: () => boolean;
  /** Whether this host has a live link to a host. */
  isLinked: (host: string) => boolean;
}

/** Determines from the host list which hosts are leaving or gone. */
export class HostListMonitor {
  private leaving = new Set<string>();
  /** Clock time since which each incarnation is missing from the list. */
  private readonly missingSinceMs = new Map<string, number>();
  private lastFetchMs = -Infinity;
  private readonly listeners: Array<() => void> = [];

  constructor(private readonly options: HostListMonitorOptions) {}

  /** @returns whether the platform has permanently removed a member. */
  isGone(host: string): boolean {
    const {members, isLinked} = this.options;
    const member = members.known().find(known => known.host === host);
    if (member === undefined || isLinked(host)) return false;
    const sinceMs = this.missingSinceMs.get(member.incarnation);
    if (sinceMs === undefined) return false;
    return this.lastFetchMs - sinceMs >= HOST_LIST_LAG_MS;
  }

  /** @returns whether the host or target with that name is leaving. */
  isLeaving(name: string): boolean {
    return this.leaving.has(name);
  }

  /** @param listener - called when the set of leaving hosts changes. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Polls until the signal aborts. If the list is unreachable, the last state
   * stays in force.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {list, clock, isController} = this.options;
    if (list === undefined) return;
    while (!signal.aborted) {
      const fetched = await list.fetch(signal);
      if (fetched.isOk()) this.applyHostList(fetched.value);
      const pollMs = isController() ? CONTROLLER_POLL_MS : MEMBER_POLL_MS;
      // A member that becomes the controller must switch to the shorter
      // interval at once.
      for (
        let waitedMs = 0;
        waitedMs < pollMs;
        waitedMs += CONTROLLER_POLL_MS
      ) {
        await clock.sleep(CONTROLLER_POLL_MS, signal);
        if (isController()) break;
      }
    }
  }

  private applyHostList(hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map(({name}) => name));
    this.lastFetchMs = this.options.clock.now();
    for (const member of this.options.members.known()) {
      this.recordPresence(member, listed.has(member.host));
    }
    const leaving = hosts.filter(({state}) => state === 'leaving');
    const names = new Set(leaving.map(({name}) => name));
    if (areSetsEqual(names, this.leaving)) return;
    this.leaving = names;
    for (const listener of this.listeners) listener();
  }

  private recordPresence({incarnation}: Member, isListed: boolean): void {
    if (isListed) this.missingSinceMs.delete(incarnation);
    else if (!this.missingSinceMs.has(incarnation)) {
      this.missingSinceMs.set(incarnation, this.lastFetchMs);
    }
  }
}

function areSetsEqual(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every(name => b.has(name));
}
