/** Table of the members of a zone. @packageDocumentation */

import {z} from 'zod';
import {ZoneStatePart} from './zone_state.js';
import {ZoneRecordType, ZoneStream} from './zone_stream.js';

const MAX_PORT = 65_535;

const addressSchema = z.object({
  address: z.string(),
  port: z.number().int().min(0).max(MAX_PORT),
});

/** Schema of a host that has joined a zone. */
export const memberSchema = z.object({
  host: z.string(),
  zone: z.string(),
  incarnation: z.string(),
  peer: addressSchema,
  operator: addressSchema,
});

/** A host that has joined a zone. */
export type Member = z.output<typeof memberSchema>;

/**
 * Adds a host to the zone. A later join of the host replaces an earlier one.
 */
export const JOIN: ZoneRecordType<Member> = {type: 'join', body: memberSchema};

const leaveSchema = z.object({host: z.string(), incarnation: z.string()});

/** Removes a host after a planned stop or because the platform removed it. */
export const LEAVE: ZoneRecordType<z.output<typeof leaveSchema>> = {
  type: 'leave',
  body: leaveSchema,
};

/** Schema of a member with the offset of its JOIN record. */
export const joinedSchema = z.object({
  member: memberSchema,
  offset: z.number().int(),
});

/** A member with the offset of its JOIN record. */
export type Joined = z.output<typeof joinedSchema>;

const tableSchema = z.object({
  version: z.number().int(),
  joined: z.array(joinedSchema),
});

/** The members of one zone, built from its stream and from announcements. */
export class MemberTable implements ZoneStatePart {
  private readonly byHost = new Map<string, Joined>();
  /** Members that announced themselves and whose join was not read yet. */
  private readonly announced = new Map<string, Joined>();
  private readonly listeners: Array<() => void> = [];
  private lastOffset = -1;

  /** @param stream - stream of the zone, from which the table is built. */
  constructor(stream: ZoneStream) {
    stream.addStatePart('members', this);
    stream.on(JOIN, (member, {offset}) => {
      this.lastOffset = offset;
      this.byHost.set(member.host, {member, offset});
      this.removeAnnounced(member.host, offset);
      this.notifyListeners();
    });
    stream.on(LEAVE, ({host, incarnation}, {offset}) => {
      this.removeAnnounced(host, offset);
      if (this.byHost.get(host)?.member.incarnation !== incarnation) return;
      this.lastOffset = offset;
      this.byHost.delete(host);
      this.notifyListeners();
    });
  }

  /**
   * Offset of the latest record that changed the table; -1 if there is none.
   */
  get version(): number {
    return this.lastOffset;
  }

  /** @returns the members according to the log, sorted by name. */
  all(): Member[] {
    return sortByHost([...this.byHost.values()]);
  }

  /**
   * @returns the members according to the log or their own announcements,
   *     sorted by name; for each host the newest incarnation.
   */
  known(): Member[] {
    return sortByHost([
      ...new Map([...this.byHost, ...this.announced]).values(),
    ]);
  }

  /**
   * Returns the members apart from this host.
   *
   * @param self - name of this host.
   * @param isGone - whether the platform has permanently removed a host.
   * @returns every other known member that is not gone, sorted by name.
   */
  others(self: string, isGone: (host: string) => boolean): Member[] {
    return this.known().filter(({host}) => host !== self && !isGone(host));
  }

  /** @returns the member with that name according to the log. */
  get(host: string): Member | undefined {
    return this.byHost.get(host)?.member;
  }

  /** @returns the member with that name and the offset of its JOIN record. */
  joined(host: string): Joined | undefined {
    return this.byHost.get(host);
  }

  /** @returns the members that joined before an offset, sorted by name. */
  joinedBefore(offset: number): Member[] {
    const earlier = [...this.byHost.values()].filter(
      joined => joined.offset < offset,
    );
    return sortByHost(earlier);
  }

  /**
   * Adds a member that announced itself over a link, possibly before this host
   * has read its join from the log.
   */
  addAnnounced(joined: Joined): void {
    const {host} = joined.member;
    const offset = this.newestOffset(host);
    if (offset !== undefined && offset >= joined.offset) return;
    this.announced.set(host, joined);
    this.notifyListeners();
  }

  /** @param listener - called after each change of the members. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Implements {@link ZoneStatePart}. */
  capture(): unknown {
    return {version: this.lastOffset, joined: [...this.byHost.values()]};
  }

  /** Implements {@link ZoneStatePart}. */
  prepareRestore(state: unknown): (() => void) | undefined {
    const parsed = tableSchema.safeParse(state);
    if (!parsed.success) return undefined;
    const {version, joined} = parsed.data;
    return () => {
      this.lastOffset = version;
      this.byHost.clear();
      for (const entry of joined) this.byHost.set(entry.member.host, entry);
    };
  }

  /** Implements {@link ZoneStatePart}. */
  notifyRestored(): void {
    this.notifyListeners();
  }

  private newestOffset(host: string): number | undefined {
    return (this.announced.get(host) ?? this.byHost.get(host))?.offset;
  }

  private removeAnnounced(host: string, offset: number): void {
    const announced = this.announced.get(host);
    if (announced !== undefined && announced.offset <= offset)
      this.announced.delete(host);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function sortByHost(joined: readonly Joined[]): Member[] {
  return joined
    .map(({member}) => member)
    .sort((a, b) => (a.host < b.host ? -1 : 1));
}
