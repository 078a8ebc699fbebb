/** Components for peer links, zone membership and the directory of other zones. @packageDocumentation */

import {
  Clock,
  DEFAULT_RETENTION_MS,
  HttpHostList,
  LeaseAuthority,
  Logger,
  Member,
  Membership,
  PeerIdentity,
  PlatformLog,
  Random,
  RecordIdGenerator,
  TcpPeerNetwork,
  ZoneDirectory,
  ZoneLinks,
  ZoneStream,
  withTimeout,
} from '@fuchsiacleat/core';
import {parseAddress} from './config_components.js';
import {Settings} from './settings.js';

const STOP_APPEND_TIMEOUT_MS = 2_000;

/** Options of {@link ZoneComponents}. */
export interface ZoneComponentsOptions {
  settings: Settings;
  self: PeerIdentity;
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  random: Random;
  /** Returns whether a peer link with a host is allowed; by default all are. */
  allowsPeer?: (host: string) => boolean;
}

/** Connects a host to its peers, its zone and the other zones. */
export class ZoneComponents {
  readonly network: TcpPeerNetwork;
  readonly membership: Membership;
  readonly zones: ZoneDirectory;
  private readonly stream: ZoneStream;

  constructor(options: ZoneComponentsOptions) {
    const {settings, self, clock, logger, random} = options;
    const {host_list: hostListUrl} = settings.platform;
    const retentionMs = settings.platform.log_retention ?? DEFAULT_RETENTION_MS;
    const snapshots = {random, retentionMs};
    this.stream = new ZoneStream({...options, zone: self.zone, snapshots});
    this.network = new TcpPeerNetwork({
      self,
      clock,
      logger,
      secret: settings.peers.secret,
      resolve: host => this.findMember(host)?.peer ?? parseAddress(host),
      isLinkAllowed: options.allowsPeer,
    });
    const {network, stream} = this;
    const hostList =
      hostListUrl === undefined ? undefined : new HttpHostList(hostListUrl);
    this.membership = new Membership({...options, stream, network, hostList});
    const {members, lease} = this.membership;
    this.zones = new ZoneDirectory({
      ...options,
      network,
      members,
      lease,
      retentionMs,
      isAvoided: host =>
        network.isSuspect(host) || this.membership.hosts.isLeaving(host),
    });
  }

  /** The zone lease, which determines whether this host may send orders. */
  get authority(): LeaseAuthority {
    return this.membership.lease;
  }

  /** Reads the zone's log stream until the signal aborts. */
  followStream(signal: AbortSignal): void {
    void this.stream.run(signal);
  }

  /**
   * Joins the zone once the zone's stream has been read to its end.
   *
   * @param member - this host and its addresses.
   * @param signal - cancels the join.
   */
  async join(member: Member, signal: AbortSignal): Promise<void> {
    await this.stream.caughtUp();
    await this.membership.join(member, signal);
  }

  /** Runs membership, zone directory and peer links until the signal aborts. */
  run(signal: AbortSignal): void {
    const {membership, network} = this;
    void membership.run(signal);
    void this.zones.run(signal);
    const {host} = network.self;
    new ZoneLinks(host, membership.members, network).run(signal);
  }

  /** Releases the lease so that another host can claim it at once. */
  async releaseLease(): Promise<void> {
    const {lease} = this.membership;
    await withTimeout(STOP_APPEND_TIMEOUT_MS, undefined, signal =>
      lease.release(false, signal),
    );
  }

  /** Leaves the zone, and records it if the zone is empty afterwards. */
  async leave(): Promise<void> {
    await withTimeout(STOP_APPEND_TIMEOUT_MS, undefined, async signal => {
      await this.membership.leave(signal);
      await this.zones.writeIfEmpty(signal);
    });
  }

  private findMember(host: string): Member | undefined {
    const {membership, zones} = this;
    const all = [...membership.members.known(), ...zones.remoteHosts()];
    return all.find(member => member.host === host);
  }
}
