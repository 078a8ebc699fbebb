import {expect} from 'chai';
import {
  CALLER_END,
  CallerAnswer,
  LocalCluster,
  LoopLag,
  sampleDeclarations,
} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1'];
const DEADLINE_MS = 1_200;
const MAX_DELAY_MS = 100;
const REQUESTS_PER_HOST = 6;

interface EndedRequest {
  host: string;
  answer: CallerAnswer;
  sentMs: number;
  endedMs: number;
}

describe('promise: served-or-refused', () => {
  let cluster: LocalCluster;
  let lag: LoopLag;

  beforeEach(async () => {
    lag = new LoopLag();
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [
        {name: 'pool-1', zone: 'a', slots: 2, firstTokenMs: 20},
        {name: 'pool-2', zone: 'b', slots: 2, firstTokenMs: 20},
      ],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
  });

  afterEach(async () => {
    lag.stop();
    await cluster.kill();
  });

  async function send(host: string, route: string): Promise<EndedRequest> {
    const headers = {'x-deadline-ms': String(DEADLINE_MS)};
    const sentMs = performance.now();
    const caller = cluster.caller(host);
    const answer = await caller.chat('a draft', {headers, route});
    return {host, answer, sentMs, endedMs: performance.now()};
  }

  function sendAll(): Promise<EndedRequest[]> {
    const routes = ['draft', 'draft-gujarati'];
    const sent = HOSTS.flatMap(host =>
      Array.from({length: REQUESTS_PER_HOST}, (unused, index) =>
        send(host, routes[index % routes.length]),
      ),
    );
    return Promise.all(sent);
  }

  function expectOneOutcome(
    all: readonly EndedRequest[],
    killed?: string,
  ): void {
    for (const {host, answer, sentMs, endedMs} of all) {
      if (host !== killed) expect(answer.end).not.to.equal(CALLER_END.cut);
      const lateMs =
        endedMs - sentMs - DEADLINE_MS - lag.lagWithin(sentMs, endedMs);
      expect(lateMs).to.be.at.most(MAX_DELAY_MS);
      if (answer.status !== 429 && answer.status !== 503) continue;
      expect(answer.end).to.equal(CALLER_END.notRun);
    }
  }

  function served(all: readonly EndedRequest[]): number {
    return all.filter(({answer}) => answer.end === CALLER_END.served).length;
  }

  const warmUp = () => Promise.all(HOSTS.map(host => send(host, 'draft')));

  it('serves all requests without faults', async () => {
    await warmUp();
    const all = await sendAll();
    expectOneOutcome(all);
    expect(served(all)).to.equal(all.length);
  });

  const logFaults = {
    'the log is down': {down: true},
    'the log is slow': {delayMs: 3_000},
    'the log loses responses': {loseAnswers: 1_000},
  };
  for (const [name, faults] of Object.entries(logFaults)) {
    it(`holds while ${name}`, async () => {
      cluster.log.faults = {...cluster.log.faults, ...faults};
      expectOneOutcome(await sendAll());
      expectOneOutcome(await sendAll());
    });
  }

  it('holds while the weight store is slow', async () => {
    cluster.weightStore.slowdown = 1_000;
    expectOneOutcome(await sendAll());
  });

  it('holds while a zone is partitioned', async () => {
    await warmUp();
    cluster.partitions.partitionZone('b');
    expectOneOutcome(await sendAll());
    cluster.partitions.heal();
    expectOneOutcome(await sendAll());
  });

  it('holds at other hosts when a host dies', async () => {
    await warmUp();
    const sent = sendAll();
    cluster.daemon('a-1').kill();
    expectOneOutcome(await sent, 'a-1');
  });

  it('holds while targets accept requests without responding', async () => {
    await warmUp();
    for (const engine of cluster.engines.values()) {
      engine.faults = {...engine.faults, silent: true};
    }
    expectOneOutcome(await sendAll());
  });

  it('holds while a target is silent and the log is down', async () => {
    await warmUp();
    const engine = cluster.engines.get('pool-1')!;
    engine.faults = {...engine.faults, silent: true};
    cluster.log.faults = {...cluster.log.faults, down: true};
    expectOneOutcome(await sendAll());
  });
});
