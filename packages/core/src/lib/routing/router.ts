/** Chooses the zone and the host that serve a request. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {Member} from '../membership/member_table.js';
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
   * @param exclude - hosts that were tried in vain.
   * @returns where a generation request goes.
   */
  forGeneration(exclude: ReadonlySet<string> = new Set()): RouteChoice {
    const {zone, random, remoteHosts} = this.options;
    if (this.zonesWithEngines().has(zone)) return {type: 'local'};
    const hosts = remoteHosts().filter(
      member =>
        this.zonesWithEngines().has(member.zone) && !exclude.has(member.host),
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

  private zonesWithEngines(): Set<string> {
    const zones = new Set<string>();
    for (const target of this.options.config.declared.all('target').values()) {
      if (target.kind === 'engine') zones.add(target.zone);
    }
    return zones;
  }
}
