/** Cluster and declarations of a fault run. @packageDocumentation */

import {RawObject, Tracing, digestOf} from '@fuchsiacleat/core';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {LocalCluster} from '../local_cluster.js';
import {JumpingClock} from './jumping_clock.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'd-1'] as const;
const TEAM_NAMES = ['north', 'south', 'east'];
const MODELS = ['drafter', 'reviewer', 'summariser'] as const;
const GRACE_MS = 300;
const GIB = 1024 ** 3;

/** Rate limit of each team in a fault run, in tokens per second. */
export const TEAM_RATE = 400;

/** Burst of each team in a fault run, in tokens. */
export const TEAM_BURST = 1_200;

/** Maximum number of replicas of each model in a fault run. */
export const MAX_REPLICAS = 2;

/** Team with its API keys. */
export interface ScenarioTeam {
  name: string;
  /** Key that is never withdrawn. */
  key: string;
  /** Key that is withdrawn and granted again. */
  revocableKey: string;
  revocableKeyObject: RawObject;
}

/** Four zones with six hosts; half of the engines check fencing numbers. */
export class FaultScenario {
  readonly clocks = new Map<string, JumpingClock>(
    HOSTS.map(host => [host, new JumpingClock()]),
  );
  readonly teams: ScenarioTeam[] = TEAM_NAMES.map(createTeam);
  readonly hosts: readonly string[] = HOSTS;
  /** Hosts to which callers send no requests, as if behind a load balancer. */
  readonly hostsOutOfService = new Set<string>();
  readonly models: readonly string[] = MODELS;
  /** Finished spans of all hosts. */
  readonly spans = new InMemorySpanExporter();
  private started: LocalCluster | undefined;

  /** The cluster; valid after {@link FaultScenario.start}. */
  get cluster(): LocalCluster {
    return this.started!;
  }

  /** @returns the hosts to which callers send requests. */
  hostsInService(): string[] {
    return HOSTS.filter(host => !this.hostsOutOfService.has(host));
  }

  /** @returns whether a team may use a route. */
  canUse(team: string, route: string): boolean {
    const index = MODELS.findIndex(model => model === route);
    return index === -1 || TEAM_NAMES[index % TEAM_NAMES.length] !== team;
  }

  /** Starts the cluster and publishes the declarations. */
  async start(): Promise<void> {
    const weights = MODELS.map(model => [`${model}-1`, GIB] as const);
    this.started = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: ['a', 'b', 'c', 'd'].map((zone, index) => ({
        name: `pool-${zone}`,
        zone,
        memoryBytes: 4 * GIB,
        fencing: index % 2 === 0,
        slots: 16,
      })),
      services: ['a', 'c'].map(zone => ({name: `registry-${zone}`, zone})),
      weights: Object.fromEntries(weights),
      graceMs: GRACE_MS,
      depsForHost: host => ({
        clock: this.clocks.get(host)!,
        tracing: new Tracing([this.spans]),
      }),
    });
    await this.cluster.publish([
      ...this.cluster.platformObjects(),
      ...this.teams.flatMap(teamObjects),
      ...MODELS.flatMap(modelObjects),
      {
        kind: 'route',
        name: 'filing',
        fields: {
          targets: 'registry-a, registry-c',
          teams: this.teams.map(team => team.name).join(', '),
          repeatable: 'no',
        },
      },
    ]);
  }
}

function createTeam(name: string): ScenarioTeam {
  const key = `fc-kept-${name}`;
  const revocableKey = `fc-loose-${name}`;
  const revocableKeyObject = keyObject(name, `${name}-loose`, revocableKey);
  return {
    name,
    key,
    revocableKey,
    revocableKeyObject,
  };
}

function keyObject(team: string, name: string, key: string): RawObject {
  return {kind: 'key', name, fields: {team, digest: digestOf(key)}};
}

function teamObjects({
  name,
  key,
  revocableKeyObject,
}: ScenarioTeam): RawObject[] {
  const rate = {
    team: name,
    tokens_per_second: String(TEAM_RATE),
    burst: String(TEAM_BURST),
  };
  return [
    {kind: 'team', name, fields: {}},
    {kind: 'rate', name, fields: rate},
    keyObject(name, `${name}-kept`, key),
    revocableKeyObject,
  ];
}

function modelObjects(model: string, index: number): RawObject[] {
  const version = `${model}-1`;
  const replicas = String(MAX_REPLICAS);
  const team = TEAM_NAMES[index % TEAM_NAMES.length];
  const others = TEAM_NAMES.filter(name => name !== team).join(', ');
  return [
    {kind: 'model', name: model, fields: {version, max_replicas: replicas}},
    {kind: 'version', name: version, fields: {model, weights: '1GiB'}},
    // Each route excludes one team.
    {kind: 'route', name: model, fields: {model, teams: others}},
  ];
}
