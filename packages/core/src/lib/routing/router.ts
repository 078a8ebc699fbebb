/** Chooses the zone and the host that serve a request. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {Declarations} from '../config/declared.js';
import {Member} from '../membership/member_table.js';
import {replicaParts} from '../placement/replica_parts.js';
import {Random} from '../time/random.js';

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
}

/** Chooses between this host's zone and the others. */
export class Router {
  constructor(private readonly options: RouterOptions) {}

  /**
   * A zone that has no part in the model's replicas forwards to one that has.
   *
   * @param exclude - hosts that were tried in vain.
   * @param model - name of the model.
   * @returns where a generation request goes.
   */
  forGeneration(
    exclude: ReadonlySet<string> = new Set(),
    model?: string,
  ): RouteChoice {
    const {zone, random, remoteHosts} = this.options;
    const zones = this.zonesFor(model);
    if (zones.has(zone)) return {type: 'local'};
    const hosts = remoteHosts().filter(
      member => zones.has(member.zone) && !exclude.has(member.host),
    );
    if (hosts.length === 0) {
      return {type: 'none', message: 'no zone with an engine is reachable'};
    }
    const {host, zone: remoteZone} = random.pick(hosts);
    return {type: 'peer', host, zone: remoteZone};
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
