/** Announcement and acknowledgment of joins. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {JoinStatus} from './join_status.js';
import {Joined, Member, MemberTable, joinedSchema} from './member_table.js';
import {ZoneRecordType, ZoneStream} from './zone_stream.js';

const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCE_TIMEOUT_MS = 1_000;
const ACK_INTERVAL_MS = 1_000;
const ACK_TIMEOUT_MS = 5_000;

/**
 * Time that a joining host has to announce itself over a link before its join
 * is acknowledged through the log, in milliseconds.
 */
const ACK_DELAY_MS = 3_000;

const knownSchema = z.object({known: z.boolean()});

/** Announces a join to an earlier member. */
export const ANNOUNCE: PeerMethod<Joined, z.output<typeof knownSchema>> = {
  name: 'members.announce',
  body: joinedSchema,
  event: knownSchema,
};

const ackSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  /** The host has read all joins up to this offset. */
  seen: z.number().int(),
});

/**
 * Acknowledges the joins of hosts that did not announce themselves over a link.
 */
export const ACK: ZoneRecordType<z.output<typeof ackSchema>> = {
  type: 'join-ack',
  body: ackSchema,
};

/** Options of a {@link JoinTracker}. */
export interface JoinTrackerOptions {
  stream: ZoneStream;
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  /** Whether the platform has permanently removed a host. */
  isGone: (host: string) => boolean;
}

/**
 * A {@link JoinStatus} that announces the join over links. Members without a
 * link acknowledge it through the log.
 */
export class JoinTracker extends JoinStatus {
  private establishedOffset: number | undefined;
  /** Members that acknowledged a join of this host: `incarnation@offset`. */
  private readonly acknowledgedBy = new Set<string>();
  private readonly ackedUpTo = new Map<string, number>();
  private readonly announced = new Set<string>();
  private readonly firstSeenMs = new Map<string, number>();
  private ownAckOffset = -1;
  private readonly waiters: Array<() => void> = [];

  constructor(private readonly options: JoinTrackerOptions) {
    super();
    const {stream, network} = options;
    stream.on(ACK, ({incarnation, seen}) => {
      this.ackedUpTo.set(incarnation, seen);
    });
    network.serveUnary(ANNOUNCE, (joined, {from}) => ({
      known: this.handleAnnouncement(joined, from.incarnation),
    }));
  }

  override get isEstablished(): boolean {
    const ownJoin = this.findOwnJoin();
    return ownJoin !== undefined && ownJoin.offset === this.establishedOffset;
  }

  override whenEstablished(): Promise<void> {
    if (this.isEstablished) return Promise.resolve();
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /**
   * Announces this host and acknowledges other joins until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    const announcing = clock.every(ANNOUNCE_INTERVAL_MS, signal, () =>
      this.announce(signal),
    );
    const acking = clock.every(ACK_INTERVAL_MS, signal, () =>
      this.acknowledgeUnannounced(signal),
    );
    await Promise.all([announcing, acking]);
  }

  private findOwnJoin(): Joined | undefined {
    const {members, network} = this.options;
    const ownJoin = members.joined(network.self.host);
    const {incarnation} = network.self;
    return ownJoin?.member.incarnation === incarnation ? ownJoin : undefined;
  }

  private async announce(signal: AbortSignal): Promise<void> {
    const ownJoin = this.findOwnJoin();
    if (ownJoin === undefined || this.isEstablished) return;
    const unacknowledged = this.pendingMembers(ownJoin);
    await Promise.all(
      unacknowledged.map(member => this.announceTo(member, ownJoin, signal)),
    );
    if (this.findOwnJoin()?.offset !== ownJoin.offset) return;
    if (this.pendingMembers(ownJoin).length > 0) return;
    this.establishedOffset = ownJoin.offset;
    for (const resolve of this.waiters.splice(0)) resolve();
  }

  private pendingMembers(join: Joined): Member[] {
    const {members, network, isGone} = this.options;
    return members.joinedBefore(join.offset).filter(({host, incarnation}) => {
      if (host === network.self.host || isGone(host)) return false;
      if (this.acknowledgedBy.has(`${incarnation}@${join.offset}`))
        return false;
      return (this.ackedUpTo.get(incarnation) ?? -1) < join.offset;
    });
  }

  private async announceTo(
    {host, incarnation}: Member,
    ownJoin: Joined,
    signal: AbortSignal,
  ): Promise<void> {
    const timeoutMs = ANNOUNCE_TIMEOUT_MS;
    const {network} = this.options;
    const options = {timeoutMs, signal};
    const answer = await network.call(host, ANNOUNCE, ownJoin, options);
    if (answer.isErr() || !answer.value.known) return;
    this.acknowledgedBy.add(`${incarnation}@${ownJoin.offset}`);
  }

  private handleAnnouncement(joined: Joined, from: string): boolean {
    const {members, network} = this.options;
    const {member} = joined;
    if (member.zone !== network.self.zone || member.incarnation !== from) {
      return false;
    }
    members.addAnnounced(joined);
    this.announced.add(member.incarnation);
    return true;
  }

  private async acknowledgeUnannounced(signal: AbortSignal): Promise<void> {
    const ownJoin = this.findOwnJoin();
    if (ownJoin === undefined) return;
    const {stream, network} = this.options;
    const seen = Math.max(-1, ...this.unannouncedJoins(ownJoin));
    if (seen <= this.ownAckOffset) return;
    const {host, incarnation} = network.self;
    const body = {host, incarnation, seen};
    const acked = await stream.append(ACK, body, ACK_TIMEOUT_MS, signal);
    if (acked.isOk()) this.ownAckOffset = seen;
  }

  /** @returns the offsets of later joins that were not announced in time. */
  private unannouncedJoins(ownJoin: Joined): number[] {
    const {members, clock} = this.options;
    const nowMs = clock.now();
    return members
      .all()
      .map(({host}) => members.joined(host)!)
      .filter(({member, offset}) => {
        if (
          offset <= ownJoin.offset ||
          this.announced.has(member.incarnation)
        ) {
          return false;
        }
        const seenMs = this.firstSeenMs.get(member.incarnation) ?? nowMs;
        this.firstSeenMs.set(member.incarnation, seenMs);
        return nowMs - seenMs >= ACK_DELAY_MS;
      })
      .map(({offset}) => offset);
  }
}
