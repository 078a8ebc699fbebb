/** Choice of the zone and host that serve a request. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {DeclarationSet} from '../config/declaration_set.js';
import {Member} from '../membership/member_table.js';
import {splitReplicas} from '../placement/replica_split.js';
import {ReplicaDirectory} from '../placement/replica_directory.js';
import {Random} from '../time/random.js';
import {ReadyZones} from './ready_zones.js';

/**
 * Cost of forwarding a request to another zone, in milliseconds. A local load
 * that ends within this time is waited for instead.
 */
const FORWARD_COST_MS = 20;

/** Where a request is routed. */
export type RouteChoice =
  | {type: 'local'}
  | {type: 'peer'; host: string; zone: string}
  | {type: 'none'; message: string};

/** Dependencies of a {@link Router}. */
export interface RouterOptions {
  zone: string;
  config: ConfigState;
  /** Returns the hosts of all other zones. */
  remoteHosts: () => Member[];
  random: Random;
  /** Replicas in this zone. */
  directory: ReplicaDirectory;
  /** Ready replicas in other zones. */
  ready: ReadyZones;
}

/** Routes requests to this host's zone or to a host of another one. */
export class Router {
  constructor(private readonly options: RouterOptions) {}

  /**
   * Routes a generation request.
   *
   * A zone to which no replicas of the model are assigned forwards the request
   * to a zone that has some. A zone whose own replica is not ready forwards it
   * to a zone where one is.
   *
   * @param exclude - hosts on which the request already failed.
   * @param model - name of the model.
   * @returns the local zone, a host of another zone, or why there is none.
   */
  routeGeneration(
    exclude: ReadonlySet<string> = new Set(),
    model?: string,
  ): RouteChoice {
    const {zone, remoteHosts} = this.options;
    const zones = this.zonesFor(model);
    const others = remoteHosts().filter(({host}) => !exclude.has(host));
    const readyHosts = this.hostsWithReadyReplica(others, model);
    if (readyHosts.length > 0 && !this.isReadyLocally(model)) {
      return this.chooseHost(readyHosts);
    }
    if (zones.has(zone)) return {type: 'local'};
    const hosts = others.filter(member => zones.has(member.zone));
    if (hosts.length === 0) {
      return {type: 'none', message: 'no zone with an engine is reachable'};
    }
    return this.chooseHost(hosts);
  }

  private chooseHost(hosts: readonly Member[]): RouteChoice {
    const {host, zone} = this.options.random.pick(hosts);
    return {type: 'peer', host, zone};
  }

  private isReadyLocally(model: string | undefined): boolean {
    if (model === undefined) return true;
    const expectedMs = this.options.directory.expectedReadyInMs(model);
    return expectedMs !== undefined && expectedMs <= FORWARD_COST_MS;
  }

  private hostsWithReadyReplica(
    hosts: readonly Member[],
    model: string | undefined,
  ): Member[] {
    if (model === undefined) return [];
    const zones = this.options.ready.zonesFor(model);
    return hosts.filter(({zone}) => zones.includes(zone));
  }

  /**
   * Returns the names of the hosts in another zone.
   *
   * @param zone - name of the zone.
   */
  hostsIn(zone: string): string[] {
    return this.options
      .remoteHosts()
      .filter(member => member.zone === zone)
      .map(member => member.host);
  }

  private zonesFor(model: string | undefined): Set<string> {
    if (model === undefined) return this.zonesWithEngines();
    const zones = new Set<string>();
    for (const [zone, replicas] of splitReplicas(this.declared, model)) {
      if (replicas > 0) zones.add(zone);
    }
    return zones.size > 0 ? zones : this.zonesWithEngines();
  }

  private get declared(): DeclarationSet {
    return this.options.config.declared;
  }

  private zonesWithEngines(): Set<string> {
    const zones = new Set<string>();
    for (const target of this.declared.all('target').values()) {
      if (target.kind === 'engine') zones.add(target.zone);
    }
    return zones;
  }
}
