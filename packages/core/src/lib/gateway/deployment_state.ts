/** The configuration in force on this host. @packageDocumentation */

import {Deployment, TeamFacts} from './deployment.js';
import {RouteTable} from './route_table.js';

/** A configuration with the tables that requests are looked up in. */
export interface DeploymentInForce {
  deployment: Deployment;
  routes: RouteTable;
  teamOfKey: ReadonlyMap<string, TeamFacts>;
}

/** Keeps the newest configuration; it never goes back to an older one. */
export class DeploymentState {
  private inForce: DeploymentInForce | undefined;
  private readonly listeners: Array<(now: DeploymentInForce) => void> = [];

  /** The configuration in force; undefined until one is known. */
  get current(): DeploymentInForce | undefined {
    return this.inForce;
  }

  /**
   * @param deployment - a configuration that was read.
   * @returns whether it is now in force; an older or equal one is not taken.
   */
  offer(deployment: Deployment): boolean {
    const known = this.inForce?.deployment.version ?? -Infinity;
    if (deployment.version <= known) return false;
    const teamOfKey = new Map<string, TeamFacts>();
    for (const team of deployment.teams.values()) {
      for (const key of team.keys) teamOfKey.set(key, team);
    }
    const routes = new RouteTable(deployment.routes);
    this.inForce = {deployment, routes, teamOfKey};
    for (const listener of this.listeners) listener(this.inForce);
    return true;
  }

  /** @param listener - called with each configuration that comes in force. */
  onChange(listener: (now: DeploymentInForce) => void): void {
    this.listeners.push(listener);
  }
}
