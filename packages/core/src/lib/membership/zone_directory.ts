/** Directory of the members of all zones. @packageDocumentation */

import {createHash} from 'node:crypto';
import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {RecordIdGenerator, StreamTail} from '../platform/stream_tail.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {LeaseAuthority} from './lease_authority.js';
import {Member, MemberTable, memberSchema} from './member_table.js';

/** Name of the stream on which each zone's controller publishes its members. */
export const ZONES_STREAM = 'zones';

const CHECK_INTERVAL_MS = 500;
const APPEND_TIMEOUT_MS = 5_000;

/** Fraction of the log's retention after which a summary is written again. */
const REWRITE_FRACTION = 1 / 3;

/**
 * Time without a complete read of the stream after which the log counts as
 * unreachable, in milliseconds.
 */
const STALE_AFTER_MS = 15_000;
const ASK_INTERVAL_MS = 10_000;
const ASK_TIMEOUT_MS = 2_000;

const summarySchema = z.object({
  zone: z.string(),
  /** Offset on the zone's stream at which the summary was made. */
  version: z.number().int(),
  members: z.array(memberSchema),
});

/** The members of one zone at one version. */
export type ZoneSummary = z.output<typeof summarySchema>;

const versionsSchema = z.record(z.string(), z.number().int());

/** Asks a peer for summaries that are newer than the given versions. */
export const SUMMARIES: PeerMethod<
  z.output<typeof versionsSchema>,
  ZoneSummary[]
> = {
  name: 'zones.summaries',
  body: versionsSchema,
  event: z.array(summarySchema),
};

/** Options of a {@link ZoneDirectory}. */
export interface ZoneDirectoryOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  network: PeerNetwork;
  random: Random;
  /** Members of this host's zone. */
  members: MemberTable;
  lease: LeaseAuthority;
  /** How long the log keeps records, in milliseconds. */
  retentionMs: number;
  /** Whether a peer is leaving or was recently unreachable. */
  isAvoided: (host: string) => boolean;
}

interface KnownSummary {
  summary: ZoneSummary;
  /** Clock time at which the summary was received. */
  receivedMs: number;
}

/**
 * Knows the members of all zones. The controller of each zone writes a summary
 * of its members to one stream, which every host reads; no host reads the
 * streams of other zones. While the log is unreachable, controllers ask hosts
 * of other zones for newer summaries, and members ask their controller.
 */
export class ZoneDirectory {
  private readonly byZone = new Map<string, KnownSummary>();
  private readonly tail: StreamTail;

  constructor(private readonly options: ZoneDirectoryOptions) {
    this.tail = new StreamTail({
      ...options,
      stream: ZONES_STREAM,
      onRecord: record => this.handleRecord(record),
    });
    options.network.serveUnary(SUMMARIES, versions =>
      this.newerSummaries(versions),
    );
  }

  /** Whether all records that were in the log at the start have been read. */
  get isCaughtUp(): boolean {
    return this.tail.lastCaughtUpAtMs !== undefined;
  }

  /** @returns every known host of all other zones. */
  remoteHosts(): Member[] {
    const {zone} = this.options.network.self;
    return [...this.byZone.values()]
      .filter(({summary}) => summary.zone !== zone)
      .flatMap(({summary}) => summary.members);
  }

  /**
   * Chooses the hosts of other zones to which this host forwards work. Each
   * host has its own small set, so that links do not grow into a full mesh.
   * Hosts that are leaving or were recently unreachable are ranked last.
   *
   * @param perZone - greatest number of hosts of each other zone.
   * @returns the chosen hosts, for each zone in the order of preference.
   */
  preferredHosts(perZone: number): Member[] {
    const {zone} = this.options.network.self;
    return [...this.byZone.values()]
      .filter(({summary}) => summary.zone !== zone)
      .flatMap(({summary}) =>
        this.rankMembers(summary.members).slice(0, perZone),
      );
  }

  /**
   * Reads the stream and, while this host holds the lease, writes the summaries
   * of its zone.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await Promise.all([
      this.tail.run(signal),
      clock.every(CHECK_INTERVAL_MS, signal, () => this.writeIfDue(signal)),
      clock.every(ASK_INTERVAL_MS, signal, () => this.askIfStale(signal)),
    ]);
  }

  /**
   * Writes an empty summary if the last host of the zone has left. Hosts that
   * join later write their own summary.
   *
   * @param signal - cancels the append.
   */
  async writeIfEmpty(signal: AbortSignal): Promise<void> {
    if (this.options.members.all().length === 0) await this.write(signal);
  }

  private rankMembers(members: readonly Member[]): Member[] {
    const {network, isAvoided} = this.options;
    const rankOf = ({host}: Member) =>
      createHash('sha1').update(`${network.self.host} ${host}`).digest('hex');
    return members
      .map(member => ({member, rank: rankOf(member)}))
      .map(({member, rank}) => ({
        member,
        rank: (isAvoided(member.host) ? 'z' : 'a') + rank,
      }))
      .sort((a, b) => (a.rank < b.rank ? -1 : 1))
      .map(({member}) => member);
  }

  private handleRecord({body, offset}: StoredRecord): void {
    const parsed = summarySchema.safeParse(body);
    if (parsed.success) this.update(parsed.data);
    else this.options.logger.warn('zone_summary_malformed', {offset});
  }

  private update(summary: ZoneSummary): void {
    const known = this.byZone.get(summary.zone);
    if (known !== undefined && known.summary.version > summary.version) return;
    const nowMs = this.options.clock.now();
    this.byZone.set(summary.zone, {summary, receivedMs: nowMs});
  }

  private newerSummaries(versions: Record<string, number>): ZoneSummary[] {
    return [...this.byZone.values()]
      .map(({summary}) => summary)
      .filter(({zone, version}) => version > (versions[zone] ?? -1));
  }

  private async writeIfDue(signal: AbortSignal): Promise<void> {
    const {members, lease, network, clock, retentionMs} = this.options;
    if (lease.check().isErr() || this.tail.lastCaughtUpAtMs === undefined)
      return;
    const {zone} = network.self;
    const {version} = members;
    const known = this.byZone.get(zone);
    const ageMs = clock.now() - (known?.receivedMs ?? -Infinity);
    if (
      known?.summary.version === version &&
      ageMs < retentionMs * REWRITE_FRACTION
    ) {
      return;
    }
    await this.write(signal);
  }

  private async write(signal: AbortSignal): Promise<void> {
    const {members, network} = this.options;
    const {version} = members;
    const {zone} = network.self;
    const summary: ZoneSummary = {zone, version, members: members.all()};
    await this.tail.appendAndReadBack(summary, APPEND_TIMEOUT_MS, signal);
  }

  private async askIfStale(signal: AbortSignal): Promise<void> {
    const {clock, network} = this.options;
    const {lastCaughtUpAtMs: lastCaughtUp} = this.tail;
    if (lastCaughtUp === undefined) return;
    if (clock.now() - lastCaughtUp < STALE_AFTER_MS) return;
    const host = this.chooseSummarySource();
    if (host === undefined) return;
    const versions = Object.fromEntries(
      [...this.byZone].map(([zone, {summary}]) => [zone, summary.version]),
    );
    const options = {timeoutMs: ASK_TIMEOUT_MS, signal};
    const answer = await network.call(host, SUMMARIES, versions, options);
    if (answer.isOk()) answer.value.forEach(summary => this.update(summary));
  }

  /** @returns the host to ask for newer summaries, if there is one. */
  private chooseSummarySource(): string | undefined {
    const {lease, network, random} = this.options;
    const holder = lease.holder();
    if (holder !== undefined && holder !== network.self.host) return holder;
    const remote = this.preferredHosts(1);
    return remote.length === 0 ? undefined : random.pick(remote).host;
  }
}
