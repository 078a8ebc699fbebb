/** Injects faults by a seeded schedule. @packageDocumentation */

import {Change, Random} from '@fuchsiacleat/core';
import {NO_FAULTS} from '@fuchsiacleat/standins';
import {FaultScenario} from './fault_scenario.js';

const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4_000;
const MAX_PAUSE_MS = 9_000;

/** Period during which a fault was injected. */
export interface Episode {
  fault: string;
  /** Affected host, zone, target or team; empty for the platform. */
  subject: string;
  /** Times on the clock of this process, in milliseconds. */
  fromMs: number;
  toMs: number;
}

/** Period during which a team's revocable key was certainly withdrawn. */
export interface KeyWithdrawal {
  team: string;
  /** Times on the clock of this process, in milliseconds. */
  fromMs: number;
  toMs: number;
}

type Fault = (durationMs: number) => Promise<string>;

/** Injects every kind of fault, alone or overlapping with others. */
export class FaultSchedule {
  /** Injected faults, in the order in which they ended. */
  readonly episodes: Episode[] = [];
  /** Periods during which a key was certainly withdrawn. */
  readonly withdrawals: KeyWithdrawal[] = [];
  private readonly deadTargets = new Set<string>();
  private readonly faults: Readonly<Record<string, Fault>> = {
    'log-down': ms => this.logFault({down: true}, ms),
    'log-slow': ms => this.logFault({delayMs: 400}, ms),
    'log-answers-lost': ms => this.logFault({loseAnswers: 20}, ms),
    'log-connections-silent': () => this.silenceLog(),
    'store-slow': ms => this.slowStore(ms),
    'host-killed': ms => this.killHost(ms),
    'host-stopped': ms => this.stopHost(ms),
    'host-paused': () => this.pauseHost(),
    'hosts-cut': ms => this.cutHosts(ms),
    'zone-cut': ms => this.cutZone(ms),
    'target-connections-silent': () => this.silenceTarget(),
    'target-answers-crossed': ms => this.targetFault({crossAnswers: true}, ms),
    'target-died': ms => this.killTarget(ms),
    'target-leaving': ms => this.announceLeaving(ms),
    'service-answers-lost': () => this.loseServiceAnswers(),
    'key-withdrawn': ms => this.withdrawKey(ms),
    'operators-race': () => this.raceOperators(),
  };

  constructor(
    private readonly scenario: FaultScenario,
    private readonly random: Random,
  ) {}

  /** Names of all faults. */
  get names(): string[] {
    return Object.keys(this.faults);
  }

  /**
   * Injects a fault and removes it after a random duration.
   *
   * @param name - one of {@link FaultSchedule.names}.
   */
  async inject(name: string): Promise<void> {
    const durationMs = this.random.int(MIN_DURATION_MS, MAX_DURATION_MS);
    const fromMs = performance.now();
    const subject = await this.faults[name](durationMs);
    const toMs = performance.now();
    this.episodes.push({fault: name, subject, fromMs, toMs});
  }

  private get cluster() {
    return this.scenario.cluster;
  }

  private async logFault(
    faults: Partial<typeof NO_FAULTS>,
    durationMs: number,
  ): Promise<string> {
    const {log} = this.cluster;
    log.faults = {...NO_FAULTS, ...faults};
    await sleep(durationMs);
    log.faults = NO_FAULTS;
    return '';
  }

  private async silenceLog(): Promise<string> {
    this.cluster.log.silenceOpenConnections();
    return '';
  }

  private async slowStore(durationMs: number): Promise<string> {
    this.cluster.weightStore.slowdown = 50;
    await sleep(durationMs);
    this.cluster.weightStore.slowdown = 1;
    return '';
  }

  private async killHost(durationMs: number): Promise<string> {
    const host = this.takeOutOfService();
    if (host === undefined) return '';
    this.cluster.daemon(host).kill();
    await sleep(durationMs);
    await this.cluster.startDaemon(host);
    this.scenario.hostsOutOfService.delete(host);
    return host;
  }

  private async stopHost(durationMs: number): Promise<string> {
    const host = this.takeOutOfService();
    if (host === undefined) return '';
    await this.cluster.daemon(host).stop();
    await sleep(durationMs);
    await this.cluster.startDaemon(host);
    this.scenario.hostsOutOfService.delete(host);
    return host;
  }

  private async pauseHost(): Promise<string> {
    const host = this.random.pick(this.scenario.hosts);
    this.scenario.clocks.get(host)!.jump(this.random.int(100, MAX_PAUSE_MS));
    return host;
  }

  private async cutHosts(durationMs: number): Promise<string> {
    const [a, b] = [0, 1].map(() => this.random.pick(this.scenario.hosts));
    if (a === b) return '';
    this.cluster.partitions.partitionPeers(a, b);
    await sleep(durationMs);
    this.cluster.partitions.healPeers(a, b);
    return `${a} ${b}`;
  }

  private async cutZone(durationMs: number): Promise<string> {
    const zone = this.random.pick(this.scenario.hosts)[0];
    this.cluster.partitions.partitionZone(zone);
    await sleep(durationMs);
    this.cluster.partitions.heal();
    return zone;
  }

  private async silenceTarget(): Promise<string> {
    const [name, engine] = this.pickEngine();
    engine.silenceOpenConnections();
    return name;
  }

  private async targetFault(
    faults: Partial<typeof NO_FAULTS>,
    durationMs: number,
  ): Promise<string> {
    const [name, engine] = this.pickEngine();
    engine.faults = {...NO_FAULTS, ...faults};
    await sleep(durationMs);
    engine.faults = NO_FAULTS;
    return name;
  }

  private async killTarget(durationMs: number): Promise<string> {
    const [name, engine] = this.pickEngine();
    if (this.deadTargets.has(name)) return '';
    this.deadTargets.add(name);
    await engine.stop();
    await sleep(durationMs);
    await engine.start();
    this.deadTargets.delete(name);
    return name;
  }

  private async announceLeaving(durationMs: number): Promise<string> {
    const [name, engine] = this.pickEngine();
    engine.leaving = true;
    await sleep(durationMs + MAX_DURATION_MS);
    engine.leaving = false;
    return name;
  }

  private async loseServiceAnswers(): Promise<string> {
    const [name, service] = this.random.pick([...this.cluster.services]);
    service.faults = {...NO_FAULTS, loseAnswers: 3};
    return name;
  }

  private async withdrawKey(durationMs: number): Promise<string> {
    const team = this.random.pick(this.scenario.teams);
    const {kind, name} = team.revocableKeyObject;
    const withdrawn = await this.publish({kind, name, fields: null});
    if (!withdrawn) return '';
    const fromMs = performance.now();
    await sleep(durationMs + 2 * MAX_DURATION_MS);
    this.withdrawals.push({team: team.name, fromMs, toMs: performance.now()});
    while (!(await this.publish(team.revocableKeyObject))) await sleep(500);
    return team.name;
  }

  private async raceOperators(): Promise<string> {
    const team = this.random.pick(this.scenario.teams).name;
    const weights = ['1', '2', '3'].map(weight => ({weight}));
    await Promise.all(
      weights.map(fields => this.publish({kind: 'team', name: team, fields})),
    );
    return team;
  }

  /** @returns whether the change was certainly accepted. */
  private async publish(change: Change): Promise<boolean> {
    const host = this.random.pick(this.scenario.hostsInService());
    const client = this.cluster.operator(host);
    const held = await client.config();
    if (held.isErr()) return false;
    const verdict = await client.publish({
      type: 'publication',
      base: held.value.version,
      changes: [change],
      message: 'failure run',
    });
    return verdict.isOk() && verdict.value.accepted;
  }

  /**
   * Takes a random host out of service, unless half of the hosts already are.
   *
   * @returns its name.
   */
  private takeOutOfService(): string | undefined {
    const {hosts, hostsOutOfService} = this.scenario;
    if (hostsOutOfService.size >= hosts.length / 2) return undefined;
    const host = this.random.pick(this.scenario.hostsInService());
    hostsOutOfService.add(host);
    return host;
  }

  private pickEngine() {
    return this.random.pick([...this.cluster.engines]);
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
