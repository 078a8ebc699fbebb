/** The metrics of paths to targets and of tunnels. @packageDocumentation */

import {Counter, Gauge, Registry} from 'prom-client';

/** Number of tunnels by how they were answered or ended. */
export type TunnelResults = Iterable<readonly [result: string, number: number]>;

/** Counters and gauges of the paths of a gateway host. */
export class PathMetrics {
  /** Counts the lost paths, when metrics are read. */
  countLost: () => number = () => 0;

  /** Counts the open tunnels, when metrics are read. */
  countTunnels: () => number = () => 0;

  /** Returns the tunnels since the start, when metrics are read. */
  listTunnelResults: () => TunnelResults = () => [];

  /** Number of checks of direct paths. */
  readonly checks: Counter;

  /** Number of losses of direct paths. */
  readonly losses: Counter;

  /** @param registry - registry of the host. */
  constructor(registry: Registry) {
    const registers = [registry];
    this.checks = new Counter({
      name: 'fuchsiacleat_gateway_path_checks_total',
      help: 'Connections to targets that only checked whether this host reaches them.',
      registers,
    });
    this.losses = new Counter({
      name: 'fuchsiacleat_gateway_path_losses_total',
      help: 'Losses of the direct path to a target that other hosts reach.',
      registers,
    });
    const lost: Gauge = new Gauge({
      name: 'fuchsiacleat_gateway_lost_paths',
      help: 'Targets that this host does not reach directly, but other hosts do.',
      registers,
      collect: () => lost.set(this.countLost()),
    });
    const open: Gauge = new Gauge({
      name: 'fuchsiacleat_gateway_tunnels_open',
      help: 'Tunnels to targets that this host serves for other hosts.',
      registers,
      collect: () => open.set(this.countTunnels()),
    });
    const tunnels: Counter = new Counter({
      name: 'fuchsiacleat_gateway_tunnels_total',
      help: 'Tunnels that other hosts asked for, by result: opened, broken, or why they were refused.',
      labelNames: ['result'],
      registers,
      collect: () => {
        tunnels.reset();
        for (const [result, number] of this.listTunnelResults())
          tunnels.inc({result}, number);
      },
    });
  }
}
