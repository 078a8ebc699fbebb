/** Hosts that know where streams have begun, for tests. @packageDocumentation */

import {OriginExchange} from '../../lib/continuation/origin_exchange.js';
import {ServiceVersions} from '../../lib/continuation/service_versions.js';
import {StreamContinuity} from '../../lib/continuation/stream_continuity.js';
import {StreamOrigins} from '../../lib/continuation/stream_origins.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

export const SERVICE = 'engines';

/** Time limit of the route of all streams. */
export const TIMEOUT_MS = 12_000;

/** One host of a {@link ContinuityWorld}. */
export class ContinuityHost {
  readonly targets: TargetTable;
  readonly versions: ServiceVersions;
  readonly continuity: StreamContinuity;
  readonly exchange: OriginExchange;
  /** Age of the host's list of targets. */
  listAgeMs = 0;
  private readonly shutdown = new AbortController();

  constructor(
    private readonly world: ContinuityWorld,
    readonly name: string,
    readonly incarnation: string,
  ) {
    const {clock, hub} = world;
    this.targets = new TargetTable(clock);
    this.versions = new ServiceVersions({
      clock,
      targets: this.targets,
      listAgeMs: () => this.listAgeMs,
    });
    const origins = new StreamOrigins(clock);
    this.exchange = new OriginExchange({
      clock,
      network: hub.join({host: name, zone: 'z', incarnation}),
      origins,
      versions: this.versions,
      passingHost: () => world.passingHost,
      hostCount: () => world.hosts.length,
    });
    const {exchange, versions} = this;
    this.continuity = new StreamContinuity({origins, versions, exchange});
    void exchange.run(this.shutdown.signal);
  }

  stop(): void {
    this.shutdown.abort();
  }

  /** Adds or replaces a target. */
  setTarget(id: string, softwareVersion: string | undefined): void {
    const startedMs = this.world.clock.now() + 1;
    const target = {id, startedMs, service: SERVICE, softwareVersion};
    this.targets.put(targetRegistration(target), true);
  }

  /** Records that this host has passed on the first event of a stream. */
  begin(id: string, softwareVersion: string | undefined, team = 'team'): void {
    this.continuity.recordBegun(team, id, SERVICE, softwareVersion);
  }

  /** Returns the version at which this host would continue a stream. */
  versionOf(resumedId: string | undefined, team = 'team'): string | undefined {
    const stream = {team, resumedId, service: SERVICE, timeoutMs: TIMEOUT_MS};
    return this.continuity.originOf(stream)?.softwareVersion;
  }
}

/** A number of hosts, one of which passes on what the others tell it. */
export class ContinuityWorld {
  readonly clock = new ManualClock();
  readonly hub = new MemoryHub(this.clock, new Random(1));
  readonly hosts: ContinuityHost[] = [];
  /** Index of the passing host, if there is one. */
  passing: number | undefined = 0;
  private incarnations = 0;

  constructor(hostCount: number) {
    for (let i = 0; i < hostCount; i++) this.startHost(i);
  }

  /** Starts a host, in place of the earlier one with this index. */
  startHost(index: number): ContinuityHost {
    this.hosts[index]?.stop();
    const incarnation = `${index}-${++this.incarnations}`;
    const host = new ContinuityHost(this, `h${index}`, incarnation);
    this.hosts[index] = host;
    return host;
  }

  get passingHost() {
    const host =
      this.passing === undefined ? undefined : this.hosts[this.passing];
    return host && {host: host.name, incarnation: host.incarnation};
  }

  /** Lets all hosts know of targets of these versions. */
  setTargets(...versions: Array<string | undefined>): void {
    for (const host of this.hosts) {
      host.versions.recordListed();
      for (const [i, version] of versions.entries())
        host.setTarget(`t${i}`, version);
    }
  }
}
