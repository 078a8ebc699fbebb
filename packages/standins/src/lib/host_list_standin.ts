/** Fake host list of the platform. @packageDocumentation */

import {ListedHost} from '@fuchsiacleat/core';
import {etag} from 'hono/etag';
import {StandinOptions, StandinServer} from './standin_server.js';

const DEFAULT_LAG_MS = 2_000;

interface Change {
  atMs: number;
  host: ListedHost | {name: string; state: 'gone'};
}

/** Options of a {@link HostListStandin}. */
export interface HostListStandinOptions extends StandinOptions {
  /** Delay until a change shows, in milliseconds. */
  lagMs?: number;
}

/** List of live and leaving hosts that shows changes after a delay. */
export class HostListStandin extends StandinServer {
  private readonly changes: Change[] = [];
  private readonly lagMs: number;

  constructor(options: HostListStandinOptions = {}) {
    super(options);
    this.lagMs = options.lagMs ?? DEFAULT_LAG_MS;
    this.app.use('/hosts', etag());
    this.app.get('/hosts', c => c.json({hosts: this.visibleHosts()}));
  }

  /** Adds a host or changes its state. */
  set(host: ListedHost): void {
    this.changes.push({atMs: this.clock.now(), host});
  }

  /** Removes a host for good. */
  remove(name: string): void {
    const host = {name, state: 'gone' as const};
    this.changes.push({atMs: this.clock.now(), host});
  }

  private visibleHosts(): ListedHost[] {
    const hosts = new Map<string, ListedHost>();
    const latestMs = this.clock.now() - this.lagMs;
    for (const {atMs, host} of this.changes) {
      if (atMs > latestMs) continue;
      if (host.state === 'gone') hosts.delete(host.name);
      else hosts.set(host.name, host);
    }
    return [...hosts.values()];
  }
}
