import {expect} from 'chai';
import {EngineSilence} from '@fuchsiacleat/standins';
import {
  CALLER_END,
  LocalCluster,
  expectedText,
  sampleDeclarations,
} from '../index.js';

const HOSTS = ['a-1', 'b-1'];
const TOKENS = 6;
const DURATIONS_MS = [300, 900, 1_100, 1_600, 3_000];
const SERVICE_DEADLINE_MS = 2_000;
const SERVICE_SILENCE_MS = 1_100;
const POINTS: Record<string, EngineSilence['before']> = {
  'the head': 'head',
  'the first token': 0,
  'a later token': 3,
  'the last byte': 'end',
};

describe('target that falls silent and goes on', () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a'}],
      services: [{name: 'registry-1', zone: 'a'}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
      {
        kind: 'route',
        name: 'lookup',
        fields: {
          targets: 'registry-1',
          teams: 'inspectors',
          repeatable: 'yes',
        },
      },
    ]);
    for (const host of HOSTS) {
      await cluster.caller(host).chat('warm up', {maxTokens: 1});
    }
  });

  after(() => cluster.kill());

  afterEach(() => {
    const service = cluster.services.get('registry-1')!;
    service.workMs = 1;
    service.bodySilenceMs = 0;
  });

  for (const [name, point] of Object.entries(POINTS)) {
    for (const durationMs of DURATIONS_MS) {
      it(`ends no answer by ${durationMs} ms of silence before ${name}`, async () => {
        const engine = cluster.engines.get('pool-1')!;
        engine.nextSilence = {before: point, durationMs};
        const sentMs = performance.now();
        const answers = await Promise.all(
          HOSTS.map(async host => {
            const text = `${host} ${name} ${durationMs}`;
            const {end, code, ...rest} = await cluster
              .caller(host)
              .chat(text, {maxTokens: TOKENS});
            const isWhole = rest.text === expectedText(text, TOKENS);
            const runs = engine.runs.filter(run => run.text === text).length;
            return {host, end, code, isWhole, runs};
          }),
        );
        const isSilent = performance.now() - sentMs > durationMs;
        const whole = HOSTS.map(host => ({
          ...{host, end: CALLER_END.served, code: undefined},
          ...{isWhole: true, runs: 1},
        }));
        expect(answers).to.deep.equal(whole);
        expect(isSilent).to.equal(true);
      });
    }
  }

  /** Sends the same call to each host, one on each route. */
  async function callServices(body: string) {
    const headers = {'x-deadline-ms': String(SERVICE_DEADLINE_MS)};
    const calls = HOSTS.flatMap(host =>
      ['lookup', 'filing'].map(async route => {
        const text = `${body} at ${host} on ${route}`;
        const caller = cluster.caller(host);
        const answer = await caller.service(text, {route, headers});
        const isWhole = answer.text.endsWith(`"received":"${text}"}`);
        return {text, end: answer.end, isWhole};
      }),
    );
    return Promise.all(calls);
  }

  function expectWhole(answers: Awaited<ReturnType<typeof callServices>>) {
    expect(answers).to.deep.equal(
      answers.map(({text}) => ({
        text,
        end: CALLER_END.served,
        isWhole: true,
      })),
    );
    const {runs} = cluster.services.get('registry-1')!;
    for (const {text} of answers) {
      expect(runs.filter(({body}) => body === text)).to.have.length(1);
    }
  }

  it('ends no service call before its head within the deadline', async () => {
    const service = cluster.services.get('registry-1')!;
    service.workMs = SERVICE_SILENCE_MS;
    expectWhole(await callServices('silent head'));
  });

  it('ends no service call inside its body within the deadline', async () => {
    const service = cluster.services.get('registry-1')!;
    service.bodySilenceMs = SERVICE_SILENCE_MS;
    expectWhole(await callServices('silent body'));
  });
});
