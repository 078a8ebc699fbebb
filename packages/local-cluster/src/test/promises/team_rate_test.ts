import {expect} from 'chai';
import {RawObject, digestOf} from '@fuchsiacleat/core';
import {CALLER_END, CallerAnswer, LocalCluster} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1'];
const RATE = 500;
const BURST = 600;
const MAX_TOKENS = 20;
const FLOODERS_PER_HOST = 8;
const FLOOD_MS = 4_000;
const MS_PER_SECOND = 1_000;

const keyOf = (team: string) => `fc-${team}-key`;

function teamObjects(team: string, rate: number, burst: number): RawObject[] {
  const fields = {
    team,
    tokens_per_second: String(rate),
    burst: String(burst),
  };
  return [
    {kind: 'team', name: team, fields: {}},
    {kind: 'key', name: team, fields: {team, digest: digestOf(keyOf(team))}},
    {kind: 'rate', name: team, fields},
  ];
}

describe('promise: team-rate', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: ['a', 'b', 'c'].map(zone => ({
        name: `pool-${zone}`,
        zone,
        slots: 64,
        firstTokenMs: 2,
        tokenGapMs: 1,
      })),
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...teamObjects('greedy', RATE, BURST),
      ...teamObjects('modest', RATE, BURST),
      {
        kind: 'model',
        name: 'drafter',
        fields: {version: 'drafter-1', max_replicas: '3'},
      },
      {
        kind: 'version',
        name: 'drafter-1',
        fields: {model: 'drafter', weights: '1GiB'},
      },
      {
        kind: 'route',
        name: 'draft',
        fields: {
          model: 'drafter',
          teams: 'greedy, modest',
          deadline: '3s',
          max_tokens: String(MAX_TOKENS),
        },
      },
    ]);
    for (const host of HOSTS) await send(host, 'modest');
  });

  afterEach(() => cluster.kill());

  function send(host: string, team: string): Promise<CallerAnswer> {
    const options = {key: keyOf(team), maxTokens: MAX_TOKENS};
    return cluster.caller(host).chat(`${team} asks`, options);
  }

  /** Keeps several callers per host sending requests for a time. */
  async function flood(
    hosts: () => readonly string[],
    durationMs: number,
  ): Promise<CallerAnswer[]> {
    const endMs = performance.now() + durationMs;
    const isOver = () => performance.now() >= endMs;
    const answers: CallerAnswer[] = [];
    const callers = HOSTS.flatMap(host =>
      Array.from({length: FLOODERS_PER_HOST}, async () => {
        while (!isOver()) {
          if (hosts().includes(host)) answers.push(await send(host, 'greedy'));
          else await cluster.until(() => hosts().includes(host) || isOver());
        }
      }),
    );
    await Promise.all(callers);
    return answers;
  }

  function generatedMs(): number[] {
    return [...cluster.engines.values()]
      .flatMap(engine => engine.runs)
      .filter(run => run.text.startsWith('greedy'))
      .flatMap(run => run.tokenTimesMs)
      .sort((a, b) => a - b);
  }

  function expectWithinRate(burst = BURST): number {
    let waiting = 0;
    let lastMs = 0;
    let largest = 0;
    const times = generatedMs();
    for (const atMs of times) {
      const refilled = ((atMs - lastMs) * RATE) / MS_PER_SECOND;
      waiting = Math.max(0, waiting - refilled) + 1;
      lastMs = atMs;
      largest = Math.max(largest, waiting);
    }
    expect(largest).to.be.at.most(burst + 1);
    return times.length;
  }

  it('limits all hosts together', async () => {
    await flood(() => HOSTS, FLOOD_MS);
    const tokens = expectWithinRate();
    // Prompt tokens count too, so fewer tokens than the rate are generated.
    expect(tokens).to.be.at.least((0.5 * RATE * FLOOD_MS) / MS_PER_SECOND);
  });

  it('holds while a zone is partitioned and a host dies', async () => {
    let hosts = HOSTS;
    const flooded = flood(() => hosts, FLOOD_MS);
    await new Promise(resolve => setTimeout(resolve, FLOOD_MS / 4));
    cluster.partitions.partitionZone('b');
    hosts = HOSTS.filter(host => host !== 'a-2');
    cluster.daemon('a-2').kill();
    await new Promise(resolve => setTimeout(resolve, FLOOD_MS / 4));
    cluster.partitions.heal();
    await cluster.startDaemon('a-2');
    hosts = HOSTS;
    await flooded;
    expectWithinRate();
  });

  it('holds when the rate is raised and lowered again', async () => {
    const flooded = flood(() => HOSTS, FLOOD_MS);
    for (const part of [0.5, 1, 0.5]) {
      await new Promise(resolve => setTimeout(resolve, FLOOD_MS / 6));
      await cluster.publish(teamObjects('greedy', RATE * part, BURST * part));
    }
    await flooded;
    expectWithinRate();
  });

  for (const [where, hosts] of [
    ['at one host', () => ['a-1']],
    ['at all hosts', () => HOSTS],
    [
      'moving between hosts',
      () => [HOSTS[Math.floor(performance.now() / 500) % HOSTS.length]],
    ],
  ] as const) {
    it(`serves other teams while one floods ${where}`, async () => {
      const flooded = flood(hosts, FLOOD_MS);
      const modest: CallerAnswer[] = [];
      const endMs = performance.now() + FLOOD_MS;
      while (performance.now() < endMs) {
        modest.push(
          ...(await Promise.all(HOSTS.map(host => send(host, 'modest')))),
        );
      }
      await flooded;
      expectWithinRate();
      const served = modest.filter(({end}) => end === CALLER_END.served);
      expect(served.length).to.equal(modest.length);
    });
  }
});
