/** The entry hosts that have joined a zone. @packageDocumentation */

import {z} from 'zod';
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

/** The members of one zone as its stream tells. */
export class MemberTable {
  private readonly byHost = new Map<string, Member>();
  private readonly listeners: Array<() => void> = [];

  /** @param stream - the zone's stream; the table follows it. */
  constructor(stream: ZoneStream) {
    stream.on(JOIN, member => {
      this.byHost.set(member.host, member);
      this.changed();
    });
    stream.on(LEAVE, ({host, incarnation}) => {
      if (this.byHost.get(host)?.incarnation !== incarnation) return;
      this.byHost.delete(host);
      this.changed();
    });
  }

  /** @returns the members in the order of their names. */
  all(): Member[] {
    return [...this.byHost.values()].sort((a, b) => (a.host < b.host ? -1 : 1));
  }

  /** @returns the member of that name. */
  get(host: string): Member | undefined {
    return this.byHost.get(host);
  }

  /** @param listener - called after each join and leave. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
