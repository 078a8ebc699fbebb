/** Follows the platform's host list. @packageDocumentation */

import {HostList, ListedHost} from '../platform/host_list.js';
import {Clock} from '../time/clock.js';
import {Member, MemberTable} from './member_table.js';

/** Time between polls at a host that gives orders, in milliseconds. */
export const CONTROLLER_POLL_MS = 1_000;

const MEMBER_POLL_MS = 10_000;

/**
 * How long a joined host must be missing from the list to count as removed,
 * in milliseconds; the list shows a new host late.
 */
export const HOST_LIST_LAG_MS = 15_000;

/** What a {@link HostWatch} works with. */
export interface HostWatchOptions {
  /** Undefined if the settings name no list; then no host counts as gone. */
  list: HostList | undefined;
  members: MemberTable;
  clock: Clock;
  /** Whether this host must see targets leave at once. */
  isController: () => boolean;
  /** Whether a live link to the host exists. */
  isLinked: (host: string) => boolean;
}

/** What the host list says of members and of the hosts of targets. */
export class HostWatch {
  private leaving = new Set<string>();
  /** When each incarnation was first missing from the list. */
  private readonly missingSinceMs = new Map<string, number>();
  private lastFetchMs = -Infinity;
  private readonly listeners: Array<() => void> = [];

  constructor(private readonly options: HostWatchOptions) {}

  /** @returns whether the platform has removed a member for good. */
  isGone(host: string): boolean {
    const {members, isLinked} = this.options;
    const member = members.known().find(known => known.host === host);
    if (member === undefined || isLinked(host)) return false;
    const sinceMs = this.missingSinceMs.get(member.incarnation);
    if (sinceMs === undefined) return false;
    return this.lastFetchMs - sinceMs >= HOST_LIST_LAG_MS;
  }

  /** @returns whether a host, or a target of that name, is leaving. */
  isLeaving(name: string): boolean {
    return this.leaving.has(name);
  }

  /** @param listener - called when the set of leaving hosts changes. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Polls until the signal aborts; outages leave what is known in force. */
  async run(signal: AbortSignal): Promise<void> {
    const {list, clock, isController} = this.options;
    if (list === undefined) return;
    while (!signal.aborted) {
      const fetched = await list.fetch(signal);
      if (fetched.isOk()) this.take(fetched.value);
      const pollMs = isController() ? CONTROLLER_POLL_MS : MEMBER_POLL_MS;
      // A member that becomes the controller must not wait out its old pace.
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

  private take(hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map(({name}) => name));
    this.lastFetchMs = this.options.clock.now();
    for (const member of this.options.members.known()) {
      this.noteListed(member, listed.has(member.host));
    }
    const leaving = hosts.filter(({state}) => state === 'leaving');
    const names = new Set(leaving.map(({name}) => name));
    if (isSame(names, this.leaving)) return;
    this.leaving = names;
    for (const listener of this.listeners) listener();
  }

  private noteListed({incarnation}: Member, isListed: boolean): void {
    if (isListed) this.missingSinceMs.delete(incarnation);
    else if (!this.missingSinceMs.has(incarnation)) {
      this.missingSinceMs.set(incarnation, this.lastFetchMs);
    }
  }
}

function isSame(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every(name => b.has(name));
}
