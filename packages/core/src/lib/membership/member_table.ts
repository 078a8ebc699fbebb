/** The entry hosts that have joined a zone. @packageDocumentation */

import {z} from 'zod';
import {ZoneStatePart} from './zone_state.js';
import {ZoneRecordType, ZoneStream} from './zone_stream.js';

const addressSchema = z.object({
  address: z.string(),
  port: z.number().int(),
});

/** A host as it joined. */
export const memberSchema = z.object({
  host: z.string(),
  zone: z.string(),
  incarnation: z.string(),
  peer: addressSchema,
  operator: addressSchema,
});

/** See {@link memberSchema}. */
export type Member = z.output<typeof memberSchema>;

/** A host joins; a later join of the same host replaces an earlier one. */
export const JOIN: ZoneRecordType<Member> = {type: 'join', body: memberSchema};

const leaveSchema = z.object({host: z.string(), incarnation: z.string()});

/** A host leaves, by a planned stop or because the platform removed it. */
export const LEAVE: ZoneRecordType<z.output<typeof leaveSchema>> = {
  type: 'leave',
  body: leaveSchema,
};

/** A member and the offset of the record by which it joined. */
export const joinedSchema = z.object({
  member: memberSchema,
  offset: z.number().int(),
});

/** See {@link joinedSchema}. */
export type Joined = z.output<typeof joinedSchema>;

const tableSchema = z.object({
  version: z.number().int(),
  joined: z.array(joinedSchema),
});

/** The members of one zone as its stream tells. */
export class MemberTable implements ZoneStatePart {
  private readonly byHost = new Map<string, Joined>();
  /** Members that named themselves over a link before the log was read. */
  private readonly ahead = new Map<string, Joined>();
  private readonly listeners: Array<() => void> = [];
  private lastOffset = -1;

  /** @param stream - the zone's stream; the table follows it. */
  constructor(stream: ZoneStream) {
    stream.keep('members', this);
    stream.on(JOIN, (member, {offset}) => {
      this.lastOffset = offset;
      this.byHost.set(member.host, {member, offset});
      this.forgetAhead(member.host, offset);
      this.changed();
    });
    stream.on(LEAVE, ({host, incarnation}, {offset}) => {
      this.forgetAhead(host, offset);
      if (this.byHost.get(host)?.member.incarnation !== incarnation) return;
      this.lastOffset = offset;
      this.byHost.delete(host);
      this.changed();
    });
  }

  /** Offset of the latest record that changed the members; -1 for none. */
  get version(): number {
    return this.lastOffset;
  }

  /** @returns the members that the log tells, in the order of their names. */
  all(): Member[] {
    return sorted([...this.byHost.values()]);
  }

  /**
   * @returns the members that the log or they themselves tell, in the order
   *     of their names; of one host the newest.
   */
  known(): Member[] {
    return sorted([...new Map([...this.byHost, ...this.ahead]).values()]);
  }

  /**
   * @param self - name of this host.
   * @param isGone - whether the platform has removed a host for good.
   * @returns every other known member that is not gone.
   */
  others(self: string, isGone: (host: string) => boolean): Member[] {
    return this.known().filter(({host}) => host !== self && !isGone(host));
  }

  /** @returns the member of that name, as the log tells. */
  get(host: string): Member | undefined {
    return this.byHost.get(host)?.member;
  }

  /** @returns the member of that name and where it joined. */
  joined(host: string): Joined | undefined {
    return this.byHost.get(host);
  }

  /** @returns the members that joined before an offset. */
  joinedBefore(offset: number): Member[] {
    const earlier = [...this.byHost.values()].filter(
      joined => joined.offset < offset,
    );
    return sorted(earlier);
  }

  /**
   * Takes a member that named itself over a link, perhaps before its join was
   * read from the log here.
   */
  addAhead(joined: Joined): void {
    const {host} = joined.member;
    const offset = this.newestOffset(host);
    if (offset !== undefined && offset >= joined.offset) return;
    this.ahead.set(host, joined);
    this.changed();
  }

  /** @param listener - called after each join and leave. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Part of {@link ZoneStatePart}. */
  capture(): unknown {
    return {version: this.lastOffset, joined: [...this.byHost.values()]};
  }

  /** Part of {@link ZoneStatePart}. */
  prepare(state: unknown): (() => void) | undefined {
    const parsed = tableSchema.safeParse(state);
    if (!parsed.success) return undefined;
    const {version, joined} = parsed.data;
    return () => {
      this.lastOffset = version;
      this.byHost.clear();
      for (const entry of joined) this.byHost.set(entry.member.host, entry);
    };
  }

  /** Part of {@link ZoneStatePart}. */
  restored(): void {
    this.changed();
  }

  private newestOffset(host: string): number | undefined {
    return (this.ahead.get(host) ?? this.byHost.get(host))?.offset;
  }

  private forgetAhead(host: string, offset: number): void {
    const ahead = this.ahead.get(host);
    if (ahead !== undefined && ahead.offset <= offset) this.ahead.delete(host);
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}

function sorted(joined: readonly Joined[]): Member[] {
  return joined
    .map(({member}) => member)
    .sort((a, b) => (a.host < b.host ? -1 : 1));
}
