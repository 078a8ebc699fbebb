import {expect} from 'chai';
import {
  CALLER_END,
  CallerAnswer,
  JumpingClock,
  LocalCluster,
  sampleDeclarations,
} from '../index.js';

const DEADLINE_MS = 600;
const MAX_DELAY_MS = 100;
const FIRST_TOKEN_MS = 200;
const SLOW_TOKEN_GAP_MS = 2_000;
const PAUSE_MS = 5_000;

describe('outcome at the deadline', () => {
  const headers = {'x-deadline-ms': String(DEADLINE_MS)};
  let cluster: LocalCluster;
  let clock: JumpingClock;

  async function start(engine: {
    firstTokenMs?: number;
    tokenGapMs?: number;
  }): Promise<void> {
    cluster = await LocalCluster.start({
      hosts: ['a-1', 'b-1'].map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a', ...engine}],
      services: [{name: 'registry-1', zone: 'a'}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
    ]);
    const warmUp = await cluster.caller('b-1').chat('warm up', {maxTokens: 1});
    expect(warmUp.end).to.equal(CALLER_END.served);
  }

  afterEach(() => cluster.kill());

  function expectDeadline({end, code, closed}: CallerAnswer): void {
    expect({end, code, closed}).to.deep.equal({
      end: CALLER_END.mayHaveRun,
      code: 'deadline',
      closed: undefined,
    });
  }

  it('reaches the caller if the host is paused past it before the first token', async () => {
    clock = new JumpingClock();
    cluster = await LocalCluster.start({
      hosts: [{name: 'a-1', zone: 'a'}],
      engines: [{name: 'pool-1', zone: 'a', firstTokenMs: FIRST_TOKEN_MS}],
      daemonDeps: {clock},
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    const caller = cluster.caller('a-1');
    await caller.chat('warm up', {maxTokens: 1});
    const {runs} = cluster.engines.get('pool-1')!;
    const answer = caller.chat('a draft', {headers, maxTokens: 300});
    await cluster.until(() => runs.some(run => run.text === 'a draft'));
    clock.jump(PAUSE_MS);
    expectDeadline(await answer);
  });

  it('reaches the caller of a stream whose peer is paused', async () => {
    await start({tokenGapMs: SLOW_TOKEN_GAP_MS});
    const sentMs = performance.now();
    const answer = await cluster.caller('b-1').chat('a draft', {
      headers,
      onToken: count => {
        if (count === 1) cluster.clocks.get('a-1')!.pause();
      },
    });
    expectDeadline(answer);
    const lateMs = performance.now() - sentMs - DEADLINE_MS;
    expect(lateMs).to.be.lessThan(MAX_DELAY_MS);
  });

  it('reaches the caller in time if the peer is paused before the first token', async () => {
    await start({firstTokenMs: FIRST_TOKEN_MS});
    const {runs} = cluster.engines.get('pool-1')!;
    cluster.engines.get('pool-1')!.silenceOpenConnections();
    const sentMs = performance.now();
    const answer = cluster.caller('b-1').chat('a draft', {headers});
    await cluster.until(() => performance.now() - sentMs > FIRST_TOKEN_MS / 2);
    cluster.clocks.get('a-1')!.pause();
    expectDeadline(await answer);
    expect(runs.filter(run => run.text === 'a draft')).to.have.length(0);
    const lateMs = performance.now() - sentMs - DEADLINE_MS;
    expect(lateMs).to.be.lessThan(MAX_DELAY_MS);
  });

  it('reaches the caller of a forwarded service call in time if the peer is paused', async () => {
    await start({});
    const service = cluster.services.get('registry-1')!;
    service.faults = {...service.faults, silent: true};
    const sentMs = performance.now();
    const answer = cluster.caller('b-1').service('a filing', {headers});
    await cluster.until(() => performance.now() - sentMs > FIRST_TOKEN_MS);
    cluster.clocks.get('a-1')!.pause();
    expectDeadline(await answer);
    const lateMs = performance.now() - sentMs - DEADLINE_MS;
    expect(lateMs).to.be.lessThan(MAX_DELAY_MS);
  });
});
