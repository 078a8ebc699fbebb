import {expect} from 'chai';
import {request} from 'undici';
import {
  CALLER_END,
  CallerAnswer,
  LocalCluster,
  expectedText,
  sampleDeclarations,
} from '../../index.js';

const TOKENS = 60;
const GRACE_MS = 300;
const HOSTS = ['a-1', 'a-2', 'a-3', 'b-1'];

describe('promise: graceful-stop', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a', tokenGapMs: 10, slots: 64}],
      services: [{name: 'registry-1', zone: 'a'}],
      graceMs: GRACE_MS,
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
    ]);
  });

  afterEach(() => cluster.kill());

  async function stream(host: string, prompt: string) {
    const answer = await cluster.caller(host).chat(prompt, {maxTokens: TOKENS});
    return {host, prompt, answer};
  }

  function expectServed(
    results: Array<{prompt: string; answer: CallerAnswer}>,
  ): void {
    for (const {prompt, answer} of results) {
      expect(answer.end).to.equal(CALLER_END.served);
      expect(answer.text).to.equal(expectedText(prompt, TOKENS));
    }
  }

  async function isReady(host: string): Promise<boolean> {
    const res = await request(`${cluster.callerUrl(host)}/readyz`);
    await res.body.dump();
    return res.statusCode === 200;
  }

  it('finishes running and queued requests while two hosts stop', async () => {
    // The model is not loaded, so requests are queued when the stop begins.
    const results = HOSTS.flatMap(host =>
      [1, 2, 3].map(number => stream(host, `${host} ${number}`)),
    );
    const stops = ['a-1', 'a-2'].map(host => cluster.daemon(host).stop());
    expectServed(await Promise.all(results));
    await Promise.all(stops);
  });

  it('serves what another zone forwards to a host that no longer accepts', async () => {
    await cluster.caller('b-1').chat('warm the model up');
    const running = cluster.caller('a-1').chat('long', {maxTokens: 300});
    const {runs} = cluster.engines.get('pool-1')!;
    await cluster.until(() => runs.some(({text}) => text === 'long'));
    const stop = cluster.daemon('a-1').stop();
    await new Promise(resolve => setTimeout(resolve, 2 * GRACE_MS));
    const late = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(number =>
      stream('b-1', `late ${number}`),
    );
    expectServed(await Promise.all(late));
    expect((await running).end).to.equal(CALLER_END.served);
    await stop;
  });

  it('becomes unready at once and serves late requests', async () => {
    await cluster.caller('a-1').chat('warm the model up');
    const stop = cluster.daemon('a-1').stop();
    expect(await isReady('a-1')).to.equal(false);
    expectServed([await stream('a-1', 'came late')]);
    await stop;
  });

  it('finishes non-repeatable calls and runs each only once', async () => {
    const service = cluster.services.get('registry-1')!;
    service.workMs = 600;
    const calls = HOSTS.map(host => cluster.caller(host).service(host));
    await cluster.until(() => service.runs.length === HOSTS.length);
    const stops = ['a-1', 'a-2'].map(host => cluster.daemon(host).stop());
    const answers = await Promise.all(calls);
    await Promise.all(stops);
    for (const answer of answers) expect(answer.end).to.equal('served');
    expect(service.runs.length).to.equal(HOSTS.length);
  });

  it('finishes all requests while the log is down', async () => {
    await cluster.caller('a-1').chat('warm the model up');
    const results = HOSTS.map(host => stream(host, `log down ${host}`));
    cluster.log.faults = {...cluster.log.faults, down: true};
    const stop = cluster.daemon('a-1').stop();
    expectServed(await Promise.all(results));
    await stop;
  });

  it('hands over the lease so that the zone keeps serving', async () => {
    await cluster.caller('a-1').chat('warm the model up');
    const status = (await cluster.operator('a-1').status())._unsafeUnwrap();
    const holder = status.leaseHolder!;
    const rest = HOSTS.filter(host => host !== holder && host[0] === 'a');
    await cluster.daemon(holder).stop();
    cluster.daemons.delete(holder);
    await cluster.until(async () => {
      const now = (await cluster.operator(rest[0]).status())._unsafeUnwrap();
      return now.leaseHolder !== null && now.leaseHolder !== holder;
    });
    expectServed([await stream(rest[0], 'after the hand-over')]);
  });
});
