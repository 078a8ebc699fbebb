/** Membership of this host in its zone. @packageDocumentation */

import {PeerNetwork} from '../peers/peer_network.js';
import {HostList} from '../platform/host_list.js';
import {Logger} from '../telemetry/logger.js';
import {RecordIdGenerator} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {EntrustedRecords} from './entrusted_records.js';
import {HostListMonitor} from './host_list_monitor.js';
import {JoinTracker} from './join_tracker.js';
import {JOIN, LEAVE, Member, MemberTable} from './member_table.js';
import {ZoneLease} from './zone_lease.js';
import {ZoneStream} from './zone_stream.js';

const JOIN_TIMEOUT_MS = 10_000;
const LEAVE_TIMEOUT_MS = 2_000;
const MAINTENANCE_INTERVAL_MS = 1_000;

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  stream: ZoneStream;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  /** Undefined if the settings name no host list. */
  hostList: HostList | undefined;
}

/** Joins the zone, tracks its members and takes part in its lease. */
export class Membership {
  readonly members: MemberTable;
  readonly hosts: HostListMonitor;
  readonly joinTracker: JoinTracker;
  readonly lease: ZoneLease;
  /** Writer for the decisions of the controller. */
  readonly records: EntrustedRecords;
  private self: Member | undefined;
  private hasLeft = false;

  constructor(private readonly options: MembershipOptions) {
    const {stream, network, clock, hostList} = options;
    const members = new MemberTable(stream);
    this.members = members;
    this.hosts = new HostListMonitor({
      list: hostList,
      members,
      clock,
      isController: () => this.lease.check().isOk(),
      isLinked: host => network.connected().some(peer => peer.host === host),
    });
    const isGone = (host: string) => this.hosts.isGone(host);
    this.joinTracker = new JoinTracker({...options, members, isGone});
    const {joinTracker} = this;
    this.records = new EntrustedRecords({
      ...options,
      members,
      isGone,
      isByConsent: () => this.lease.isByConsent,
    });
    const {records} = this;
    const isLeaving = () => this.hosts.isLeaving(network.self.host);
    this.lease = new ZoneLease({
      ...options,
      members,
      joinStatus: joinTracker,
      records,
      isGone,
      isLeaving,
    });
  }

  /**
   * Joins the zone. Retries until the log has accepted the join.
   *
   * @param self - this host with its addresses.
   * @param signal - cancels the join.
   */
  async join(self: Member, signal: AbortSignal): Promise<void> {
    this.self = self;
    const {stream} = this.options;
    while (!signal.aborted) {
      const joined = await stream.append(JOIN, self, JOIN_TIMEOUT_MS, signal);
      if (joined.isOk()) return;
    }
  }

  /** Runs the tasks of a member until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await Promise.all([
      this.hosts.run(signal),
      this.joinTracker.run(signal),
      this.lease.run(signal),
      this.records.run(signal),
      clock.every(MAINTENANCE_INTERVAL_MS, signal, () => this.maintain(signal)),
    ]);
  }

  /**
   * Leaves the zone. The host does not rejoin afterwards.
   *
   * @param signal - stops waiting for the log.
   */
  async leave(signal: AbortSignal): Promise<void> {
    this.hasLeft = true;
    if (this.self === undefined) return;
    await this.records.flush(signal);
    const {host, incarnation} = this.self;
    const body = {host, incarnation};
    await this.options.stream.append(LEAVE, body, LEAVE_TIMEOUT_MS, signal);
  }

  private async maintain(signal: AbortSignal): Promise<void> {
    if (this.self === undefined || this.hasLeft) return;
    const {host, incarnation} = this.self;
    if (this.members.get(host)?.incarnation !== incarnation) {
      await this.join(this.self, signal);
    } else if (this.lease.check().isOk()) await this.removeGone(signal);
  }

  /** Removes the members that the platform has permanently removed. */
  private async removeGone(signal: AbortSignal): Promise<void> {
    const {stream, logger} = this.options;
    for (const {host, incarnation} of this.members.all()) {
      if (!this.hosts.isGone(host) || this.lease.check().isErr()) continue;
      const body = {host, incarnation};
      const left = await stream.append(LEAVE, body, LEAVE_TIMEOUT_MS, signal);
      if (left.isOk()) logger.info('member_removed', {member: host});
    }
  }
}
