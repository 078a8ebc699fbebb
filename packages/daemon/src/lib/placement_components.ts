/** Components for model placement and request routing. @packageDocumentation */

import {
  Clock,
  ConfigState,
  EngineClient,
  Logger,
  Membership,
  Metrics,
  PeerNetwork,
  PlacementClient,
  PlacementMetrics,
  Random,
  ReadyAnnouncer,
  ReadyZones,
  RecordIdGenerator,
  ReplicaDirectory,
  Router,
  TargetClients,
  VersionedEngine,
  ZoneController,
  ZoneDecisionJournal,
  ZoneDirectory,
} from '@fuchsiacleat/core';

/** Number of hosts per remote zone to which this host forwards requests. */
const FORWARD_HOSTS_PER_ZONE = 3;

/** Options of {@link PlacementComponents}. */
export interface PlacementComponentsOptions {
  config: ConfigState;
  membership: Membership;
  zones: ZoneDirectory;
  network: PeerNetwork;
  targets: TargetClients;
  metrics: Metrics;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  random: Random;
}

/**
 * Tracks the replicas in the zone, decides placement while this host holds the
 * lease, and routes requests.
 */
export class PlacementComponents {
  readonly directory: ReplicaDirectory;
  readonly client: PlacementClient;
  readonly router: Router;
  /** Returns the client of a declared engine, given its target name. */
  readonly engineOf: (target: string) => EngineClient;
  private readonly controller: ZoneController;
  private readonly announcer: ReadyAnnouncer;

  constructor(options: PlacementComponentsOptions) {
    const {membership, zones, clock, targets, network, metrics} = options;
    const {members, lease, hosts} = membership;
    const {zone} = network.self;
    const directory = new ReplicaDirectory(clock);
    this.directory = directory;
    this.engineOf = target =>
      new VersionedEngine(targets.engine(target), model =>
        directory.readyVersion(target, model),
      );
    const shared = {...options, members, lease, directory, zone};
    this.controller = new ZoneController({
      ...shared,
      engineOf: this.engineOf,
      journal: new ZoneDecisionJournal(membership.records),
      metrics: new PlacementMetrics(metrics.registry),
      isLeaving: target => hosts.isLeaving(target),
    });
    const {controller} = this;
    this.client = new PlacementClient({...shared, controller, network});
    const ready = new ReadyZones(clock);
    const remoteHosts = () => zones.preferredHosts(FORWARD_HOSTS_PER_ZONE);
    this.announcer = new ReadyAnnouncer({...shared, ready, remoteHosts});
    this.router = new Router({...shared, ready, remoteHosts});
  }

  /** Runs the placement controller and the ready announcer until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.controller.run(signal),
      this.announcer.run(signal),
    ]);
  }
}
