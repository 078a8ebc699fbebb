/** The configuration in force on this host. @packageDocumentation */

import {Deployment, TeamConfig} from './deployment.js';
import {RouteTable} from './route_table.js';

/** A configuration with the lookup tables built from it. */
export interface DeploymentInForce {
  deployment: Deployment;
  routes: RouteTable;
  teamByKey: ReadonlyMap<string, TeamConfig>;
}

/** Holds the newest known configuration; the version never decreases. */
export class DeploymentState {
  private inForce: DeploymentInForce | undefined;
  private hasColdTargets = false;
  private readonly listeners: Array<(now: DeploymentInForce) => void> = [];

  /** The configuration in force; undefined until one is known. */
  get current(): DeploymentInForce | undefined {
    return this.inForce;
  }

  /** Whether any service declares that its targets can be cold. */
  get declaresCold(): boolean {
    return this.hasColdTargets;
  }

  /**
   * Puts a configuration in force if it is newer than the current one.
   *
   * @param deployment - the configuration.
   * @returns whether it is now in force.
   */
  applyIfNewer(deployment: Deployment): boolean {
    const currentVersion = this.inForce?.deployment.version ?? -Infinity;
    if (deployment.version <= currentVersion) return false;
    const teamByKey = new Map<string, TeamConfig>();
    for (const team of deployment.teams.values()) {
      for (const key of team.keys) teamByKey.set(key, team);
    }
    const routes = new RouteTable(deployment.routes);
    this.inForce = {deployment, routes, teamByKey};
    const services = [...deployment.services.values()];
    this.hasColdTargets = services.some(({cold}) => cold !== undefined);
    for (const listener of this.listeners) listener(this.inForce);
    return true;
  }

  /** @param listener - called with each configuration that is put in force. */
  onChange(listener: (now: DeploymentInForce) => void): void {
    this.listeners.push(listener);
  }
}
