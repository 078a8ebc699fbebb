import {expect} from 'chai';
import {
  CALLER_END,
  LocalCluster,
  expectedText,
  sampleDeclarations,
} from '../../index.js';

const HOSTS = ['a-1', 'a-2'];
const LONG_TOKENS = 400;
const SHORT_GAP_MS = 20;

/** Time after which a leaving target gets no new requests, in milliseconds. */
const LEAVE_TIMEOUT_MS = 3_000;

describe('promise: leaving-target', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: 'a'})),
      engines: [
        {name: 'pool-1', zone: 'a', tokenGapMs: 10},
        {name: 'pool-2', zone: 'a', tokenGapMs: 10},
      ],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    await cluster.caller('a-1').chat('warm the model up', {maxTokens: 1});
  });

  afterEach(() => cluster.kill());

  function loadedTarget(): string {
    const found = [...cluster.engines].find(([, {memory}]) => {
      return memory.get('drafter') !== undefined;
    });
    return found![0];
  }

  /** Sends short requests to every host until it is stopped. */
  function sendSteadily() {
    const ends: string[] = [];
    let stopped = false;
    const senders = HOSTS.map(async host => {
      while (!stopped) {
        const caller = cluster.caller(host);
        const {end} = await caller.chat('draft', {maxTokens: 1});
        ends.push(end);
        await new Promise(resolve => setTimeout(resolve, SHORT_GAP_MS));
      }
    });
    return {
      ends,
      async stop() {
        stopped = true;
        await Promise.all(senders);
      },
    };
  }

  const signs: Array<{signal: string; send: (target: string) => unknown}> = [
    {
      signal: 'its own report',
      send: target => {
        cluster.engines.get(target)!.leaving = true;
      },
    },
    {
      signal: 'the host list',
      send: name => cluster.hostList.set({name, zone: 'a', state: 'leaving'}),
    },
    {
      signal: 'its declaration',
      send: async name => {
        const operator = cluster.operator('a-1');
        const base = (await operator.config())._unsafeUnwrap().version;
        await operator.publish({
          type: 'publication',
          base,
          changes: [{kind: 'target', name, fields: null}],
          message: 'remove the target',
        });
      },
    },
  ];

  for (const {signal: sign, send: give} of signs) {
    it(`gets no new requests after ${sign} and finishes its streams`, async () => {
      const target = loadedTarget();
      const engine = cluster.engines.get(target)!;
      const traffic = sendSteadily();
      const prompt = 'a long draft';
      const options = {maxTokens: LONG_TOKENS};
      const long = cluster.caller('a-1').chat(prompt, options);
      await cluster.until(() => engine.runs.length > 3);
      const signMs = performance.now();
      await give(target);
      await cluster.until(() => performance.now() - signMs > LEAVE_TIMEOUT_MS);
      const runsAtLimit = engine.runs.length;
      const answer = await long;
      await traffic.stop();
      expect(engine.runs.length, 'runs after the limit').to.equal(runsAtLimit);
      expect(answer.end).to.equal(CALLER_END.served);
      expect(answer.text).to.equal(expectedText(prompt, LONG_TOKENS));
      const others = traffic.ends.filter(end => end !== CALLER_END.served);
      expect(others).to.deep.equal([]);
    });
  }
});
