/** Hosts that compare their paths to targets, without a network. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {HostPaths, createHostPaths} from '../../lib/paths/host_paths.js';
import {DIRECT_PATH, TargetPath} from '../../lib/paths/target_paths.js';
import {
  MemoryHub,
  MemoryPeerNetwork,
} from '../../lib/peers/memory_peer_network.js';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

/** How a target, or the path to it, answers a connection attempt. */
export type Answer = 'accept' | 'refuse' | 'hang';

const CHECK_TIMEOUT_MS = 150;
const TICK_MS = 10;

/** A host with paths to all targets of the world. */
export class PathHost {
  readonly targets: TargetTable;
  readonly host: HostPaths;
  readonly abandoned: string[] = [];
  /** Number of direct checks. */
  checks = 0;
  /** What befalls direct connections, by target; nothing by default. */
  readonly cuts = new Map<string, Answer>();
  /** Number of the next checks that are lost on the way. */
  lostChecks = 0;

  constructor(
    private readonly world: PathWorld,
    readonly network: MemoryPeerNetwork,
    readonly zone: string,
    seed: number,
  ) {
    const {clock} = world;
    const logger = new SilentLogger();
    this.targets = new TargetTable(clock);
    for (const id of world.answers.keys()) {
      const address = `10.0.0.1:${8_000 + Number(id.slice(1))}`;
      this.targets.put(targetRegistration({id, address}), true);
    }
    this.host = createHostPaths({
      clock,
      random: new Random(seed),
      logger,
      tasks: new TaskSupervisor(clock, logger),
      network,
      targets: this.targets,
      zone,
      holder: () => world.holder?.network.self,
      hostCount: () => 9,
      isListening: target => this.isListening(target),
      abandonSilent: ({registration}, sinceMs) => {
        if (sinceMs > 0) this.abandoned.push(registration.id);
      },
      onCheck: () => (this.checks += 1),
      signal: new AbortController().signal,
    });
  }

  get monitor() {
    return this.host.monitor;
  }

  /** Cuts the direct paths to some targets, or to all. */
  cut(answer: Answer, ids: Iterable<string> = this.world.answers.keys()): void {
    for (const id of ids) this.cuts.set(id, answer);
  }

  target(id: string): KnownTarget {
    return this.targets.get(id)!;
  }

  /** Connects directly as a request would. */
  async connect(id: string): Promise<Answer> {
    const target = this.target(id);
    const end = this.monitor.recordConnecting(target, DIRECT_PATH);
    const answer = this.answerOf(id);
    await this.world.clock.sleep(answer === 'hang' ? 700 : 1);
    end();
    if (answer === 'accept') this.monitor.recordConnected(target, DIRECT_PATH);
    else {
      const code =
        answer === 'hang' ? 'UND_ERR_CONNECT_TIMEOUT' : 'ECONNREFUSED';
      this.monitor.recordConnectFailure(target, DIRECT_PATH, code);
    }
    return answer;
  }

  /**
   * Sends a request as the relay does, as long as the target can be reached.
   *
   * @returns the number of sends; undefined if the request is refused.
   */
  send(id: string): number | undefined {
    const {monitor} = this;
    const target = this.target(id);
    for (let sends = 1; monitor.canReach(target); sends++) {
      const path = monitor.pathTo(target);
      if (path.type === 'direct') return sends;
      const helper = this.world.hosts.find(
        ({network}) => network.self.host === path.host,
      );
      if (!helper!.host.paths.isLost(helper!.target(id))) return sends;
      monitor.recordConnectFailure(target, path, 'ERR_TUNNEL');
    }
    return undefined;
  }

  /** Returns the helpers that all targets are reached over now. */
  helpers(): Array<string | undefined> {
    return [...this.world.answers.keys()].map(id => {
      const path: TargetPath = this.monitor.pathTo(this.target(id));
      return path.type === 'tunnel' ? path.host : undefined;
    });
  }

  private answerOf(id: string): Answer {
    return this.cuts.get(id) ?? this.world.answers.get(id)!;
  }

  private async isListening({
    registration,
  }: KnownTarget): Promise<boolean | undefined> {
    let answer = this.answerOf(registration.id);
    if (this.lostChecks > 0) {
      this.lostChecks -= 1;
      answer = 'hang';
    }
    await this.world.clock.sleep(answer === 'hang' ? CHECK_TIMEOUT_MS : 1);
    return answer === 'hang' ? undefined : answer === 'accept';
  }
}

/** Hosts and targets; the first host holds the order lease. */
export class PathWorld {
  readonly clock = new ManualClock();
  readonly answers = new Map<string, Answer>();
  readonly hosts: PathHost[];
  readonly stop = new AbortController();
  holder: PathHost | undefined;
  private readonly hub = new MemoryHub(this.clock, new Random(7));

  /**
   * @param zones - zone of each host.
   * @param targetCount - number of targets.
   */
  constructor(zones: readonly string[], targetCount = 20) {
    for (let i = 0; i < targetCount; i++) this.answers.set(`t${i}`, 'accept');
    this.hosts = zones.map((zone, i) => {
      const self = {host: `h${i}`, zone: 'hosts', incarnation: `i${i}`};
      return new PathHost(this, this.hub.join(self), zone, i + 1);
    });
    this.holder = this.hosts[0];
  }

  /** Starts all hosts, and lets them learn of each other. */
  async start(): Promise<this> {
    const {signal} = this.stop;
    setMaxListeners(100, signal);
    for (const {host} of this.hosts) {
      void host.monitor.run(signal);
      void host.directory.run(signal);
    }
    await this.run(6_000);
    return this;
  }

  /** Lets time pass, with reports of all hosts to the holder. */
  async run(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += TICK_MS) {
      for (const [i, {host, network, zone}] of this.hosts.entries()) {
        this.holder?.host.reported.record(network.self.host, {
          zone,
          tunnel: `10.0.1.${i + 1}:7601`,
          isSound: host.paths.isSound,
          isStopping: false,
          load: 0,
        });
      }
      await this.clock.advance(TICK_MS);
    }
  }

  /** Lets time pass until a condition holds; returns the time that it took. */
  async runUntil(condition: () => boolean, limitMs: number): Promise<number> {
    const startMs = this.clock.now();
    while (!condition() && this.clock.now() - startMs < limitMs)
      await this.run(TICK_MS);
    return this.clock.now() - startMs;
  }
}
