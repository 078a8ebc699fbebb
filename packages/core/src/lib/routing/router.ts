/** Chooses the zone and the host that serve a request. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {Declarations} from '../config/declared.js';
import {Member} from '../membership/member_table.js';
import {replicaParts} from '../placement/replica_parts.js';
import {ReplicaDirectory} from '../placement/replica_directory.js';
import {Random} from '../time/random.js';
import {ReadyZones} from './ready_zones.js';

/** A load that ends within this time is waited for, in milliseconds. */
const FORWARD_COST_MS = 20;

/** Where a request goes. */
export type RouteChoice =
  | {type: 'local'}
  | {type: 'peer'; host: string; zone: string}
  | {type: 'none'; message: string};

/** What a {@link Router} works with. */
export interface RouterOptions {
  zone: string;
  config: ConfigState;
  /** @returns the hosts of all other zones. */
  remoteHosts: () => Member[];
  random: Random;
  /** What is ready in this zone. */
  directory: ReplicaDirectory;
  /** What is ready in others. */
  ready: ReadyZones;
}

/** Chooses between this host's zone and the others. */
export class Router {
  constructor(private readonly options: RouterOptions) {}

  /**
   * A zone that has no part in the model's replicas forwards to one that has,
   * and one whose own replica is not ready to one where it is.
   *
   * @param exclude - hosts that were tried in vain.
   * @param model - name of the model.
   * @returns where a generation request goes.
   */
  forGeneration(
    exclude: ReadonlySet<string> = new Set(),
    model?: string,
  ): RouteChoice {
    const {zone, remoteHosts} = this.options;
    const zones = this.zonesFor(model);
    const others = remoteHosts().filter(({host}) => !exclude.has(host));
    const sooner = this.readyElsewhere(others, model);
    if (sooner.length > 0 && !this.isReadyHere(model)) {
      return this.toOneOf(sooner);
    }
    if (zones.has(zone)) return {type: 'local'};
    const hosts = others.filter(member => zones.has(member.zone));
    if (hosts.length === 0) {
      return {type: 'none', message: 'no zone with an engine is reachable'};
    }
    return this.toOneOf(hosts);
  }

  private toOneOf(hosts: readonly Member[]): RouteChoice {
    const {host, zone} = this.options.random.pick(hosts);
    return {type: 'peer', host, zone};
  }

  private isReadyHere(model: string | undefined): boolean {
    if (model === undefined) return true;
    const expectedMs = this.options.directory.expectedReadyInMs(model);
    return expectedMs !== undefined && expectedMs <= FORWARD_COST_MS;
  }

  private readyElsewhere(
    hosts: readonly Member[],
    model: string | undefined,
  ): Member[] {
    if (model === undefined) return [];
    const zones = this.options.ready.zonesFor(model);
    return hosts.filter(({zone}) => zones.includes(zone));
  }

  /**
   * @param zone - name of another zone.
   * @returns the hosts of that zone.
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
    for (const [zone, part] of replicaParts(this.declared, model)) {
      if (part > 0) zones.add(zone);
    }
    return zones.size > 0 ? zones : this.zonesWithEngines();
  }

  private get declared(): Declarations {
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
