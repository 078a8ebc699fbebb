import {expect} from 'chai';
import {Random} from '@fuchsiacleat/core';
import {
  CALLER_END,
  CallerAnswer,
  LocalCluster,
  sampleDeclarations,
} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1'];

describe('promise: not-run-true', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [
        {name: 'pool-1', zone: 'a', slots: 2},
        {name: 'pool-2', zone: 'a', slots: 2},
      ],
      services: [
        {name: 'registry-1', zone: 'a'},
        {name: 'registry-2', zone: 'b'},
      ],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1', 'registry-2']}),
    ]);
    await cluster.caller('a-1').chat('warm the model up');
  });

  afterEach(() => cluster.kill());

  /** Returns how often the stand-ins ran the request with a text. */
  function runsOf(text: string): number {
    let runs = 0;
    for (const engine of cluster.engines.values()) {
      runs += engine.runs.filter(run => run.text === text).length;
    }
    for (const service of cluster.services.values()) {
      runs += service.runs.filter(run => run.body === text).length;
    }
    return runs;
  }

  function expectTrue(text: string, answer: CallerAnswer): void {
    if (answer.end === CALLER_END.notRun) expect(runsOf(text)).to.equal(0);
    // A service that responds with 503 itself has not run the request.
    if (answer.end === CALLER_END.served && answer.status === 200) {
      expect(runsOf(text)).to.be.at.least(1);
    }
  }

  it('reports not run if no target accepts a connection', async () => {
    for (const engine of cluster.engines.values()) await engine.stop();
    for (const service of cluster.services.values()) await service.stop();
    const headers = {'x-deadline-ms': '1500'};
    const call = await cluster.caller('a-1').service('unsent', {headers});
    const chat = await cluster.caller('a-1').chat('unsent', {headers});
    expect(call.end).to.equal(CALLER_END.notRun);
    expect(chat.end).to.equal(CALLER_END.notRun);
  });

  it('does not report not run if the response is lost after the run', async () => {
    const service = cluster.services.get('registry-1')!;
    service.faults = {...service.faults, loseAnswers: 1};
    const answer = await cluster.caller('a-1').service('lost');
    expect(runsOf('lost')).to.equal(1);
    expect(answer.end).to.equal(CALLER_END.mayHaveRun);
  });

  it('does not report not run if a target accepted the call and is silent', async () => {
    const service = cluster.services.get('registry-1')!;
    service.faults = {...service.faults, silent: true};
    const headers = {'x-deadline-ms': '300'};
    const answer = await cluster.caller('a-1').service('silent', {headers});
    expect(answer.end).to.equal(CALLER_END.mayHaveRun);
  });

  it('does not report not run if the peer dies during the call', async () => {
    await cluster.services.get('registry-2')!.stop();
    const service = cluster.services.get('registry-1')!;
    service.workMs = 400;
    const answer = cluster.caller('b-1').service('peer lost');
    await cluster.until(() => runsOf('peer lost') > 0);
    cluster.daemon('a-1').kill();
    cluster.daemon('a-2').kill();
    expect((await answer).end).to.equal(CALLER_END.mayHaveRun);
  });

  for (const seed of [1, 2, 3]) {
    it(`is correct under mixed faults, seed ${seed}`, async () => {
      const random = new Random(seed);
      const engines = [...cluster.engines.values()];
      const services = [...cluster.services.values()];
      const standins = [...engines, ...services];
      const sent: Array<Promise<{text: string; answer: CallerAnswer}>> = [];
      for (let number = 0; number < 40; number++) {
        const standin = random.pick(standins);
        const fault = random.int(0, 3);
        standin.faults = {
          ...standin.faults,
          crossAnswers: fault === 0,
          down: fault === 1,
          loseAnswers: fault === 2 ? 1 : 0,
        };
        if (random.int(0, 9) === 0)
          random.pick(engines).silenceOpenConnections();
        const text = `request ${number}`;
        const caller = cluster.caller(random.pick(HOSTS));
        const headers = {'x-deadline-ms': String(random.int(50, 3_000))};
        const answer =
          random.int(0, 1) === 0
            ? caller.chat(text, {headers, maxTokens: 20})
            : caller.service(text, {headers});
        sent.push(answer.then(result => ({text, answer: result})));
        await new Promise(resolve => setTimeout(resolve, random.int(0, 30)));
      }
      const ends = new Set<string>();
      for (const {text, answer} of await Promise.all(sent)) {
        expectTrue(text, answer);
        ends.add(answer.end);
      }
      expect([...ends]).to.include(CALLER_END.served);
    });
  }
});
