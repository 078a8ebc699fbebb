import {expect} from 'chai';
import {
  CALLER_END,
  LocalCluster,
  expectedText,
  sampleDeclarations,
} from '../../index.js';

const TOKENS = 40;

describe('promise: whole-answer', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
        {name: 'b-2', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'b', tokenGapMs: 10, slots: 32}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    await cluster.caller('b-1').chat('warm the model up');
  });

  afterEach(() => cluster.kill());

  /** Streams a chat and injects a fault after five chunks. */
  async function chatWithFailure(host: string, failure: () => void) {
    let failed = false;
    const prompt = `a request to ${host}`;
    const answer = await cluster.caller(host).chat(prompt, {
      maxTokens: TOKENS,
      onToken: count => {
        if (count < 5 || failed) return;
        failed = true;
        failure();
      },
    });
    expect(failed, 'the fault was injected').to.equal(true);
    return {answer, text: expectedText(prompt, TOKENS)};
  }

  it('resumes if the connection to the target goes silent', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const {answer, text} = await chatWithFailure('b-1', () =>
      engine.silenceOpenConnections(),
    );
    expect(answer.end).to.equal(CALLER_END.served);
    expect(answer.text).to.equal(text);
    expect(engine.runs.at(-1)!.resumes).to.be.at.least(1);
  });

  it('resumes if the target sends the response of another request', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const {answer, text} = await chatWithFailure('b-1', () => {
      engine.faults = {...engine.faults, crossAnswers: true};
      setTimeout(() => {
        engine.faults = {...engine.faults, crossAnswers: false};
      }, 50);
    });
    expect(answer.end).to.equal(CALLER_END.served);
    expect(answer.text).to.equal(text);
  });

  it('resumes through another host if the link is lost', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const {answer, text} = await chatWithFailure('a-1', () => {
      cluster.partitions.partitionPeers('a-1', 'b-1');
      cluster.partitions.partitionPeers('a-1', 'b-2');
      setTimeout(() => cluster.partitions.healPeers('a-1', 'b-2'), 150);
    });
    expect(answer.end).to.equal(CALLER_END.served);
    expect(answer.text).to.equal(text);
    expect(engine.runs.length, 'one run after the first one').to.equal(2);
  });

  it('resumes through another host if the peer dies', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const {answer, text} = await chatWithFailure('a-1', () => {
      // Kills the host that serves the request; the other host takes over.
      const [first, second] = ['b-1', 'b-2'].map(h => cluster.daemon(h));
      const serving = first.forwardedRequests > 0 ? first : second;
      expect(serving.forwardedRequests).to.equal(1);
      serving.kill();
    });
    expect(engine.runs.at(-1)!.resumes).to.be.at.least(1);
    expect(answer.end).to.equal(CALLER_END.served);
    expect(answer.text).to.equal(text);
  });

  it('reports the outcome of a response that the target cannot finish', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const {answer, text} = await chatWithFailure('b-1', () => {
      void engine.stop();
    });
    expect(answer.end).to.equal(CALLER_END.mayHaveRun);
    expect(text.startsWith(answer.text)).to.equal(true);
    expect(answer.text.length).to.be.lessThan(text.length);
  });

  it('never mixes responses while targets cross them', async () => {
    const engine = cluster.engines.get('pool-1')!;
    const hosts = ['a-1', 'b-1', 'b-2'];
    const trouble = setInterval(() => {
      const crossAnswers = !engine.faults.crossAnswers;
      engine.faults = {...engine.faults, crossAnswers};
    }, 60);
    const answers = await Promise.all(
      Array.from({length: 24}, async (unused, number) => {
        const prompt = `request ${number}`;
        const caller = cluster.caller(hosts[number % hosts.length]);
        const answer = await caller.chat(prompt, {maxTokens: TOKENS});
        return {answer, text: expectedText(prompt, TOKENS)};
      }),
    );
    clearInterval(trouble);
    for (const {answer, text} of answers) {
      if (answer.end === CALLER_END.served) expect(answer.text).to.equal(text);
      else expect(text.startsWith(answer.text)).to.equal(true);
    }
    const served = answers.filter(({answer}) => answer.end === 'served');
    expect(served.length).to.be.greaterThan(0);
  });
});
