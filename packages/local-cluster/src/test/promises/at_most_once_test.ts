import {Server, createServer} from 'node:net';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {ServiceStandin} from '@fuchsiacleat/standins';
import {
  CALLER_END,
  CallerAnswer,
  LocalCluster,
  sampleDeclarations,
} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1'];
const SERVICES = ['registry-1', 'registry-2'];

describe('promise: at-most-once', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a'}],
      services: SERVICES.map(name => ({name, zone: 'a'})),
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: SERVICES}),
    ]);
  });

  afterEach(() => cluster.kill());

  function services(): ServiceStandin[] {
    return SERVICES.map(name => cluster.services.get(name)!);
  }

  function runsOf(body: string): number {
    const runs = services().flatMap(service => service.runs);
    return runs.filter(run => run.body === body).length;
  }

  function file(
    host: string,
    body: string,
    key?: string,
  ): Promise<CallerAnswer> {
    const headers: Record<string, string> = {'x-deadline-ms': '4000'};
    if (key !== undefined) headers['idempotency-key'] = key;
    return cluster.caller(host).service(body, {headers});
  }

  it('runs a call only once if its response is lost', async () => {
    for (const service of services()) {
      service.faults = {...service.faults, loseAnswers: 1};
    }
    const answer = await file('a-1', 'lost answer');
    expect(answer.end).to.equal(CALLER_END.mayHaveRun);
    expect(runsOf('lost answer')).to.equal(1);
  });

  it('retries at another service only if nothing was sent', async () => {
    await services()[0].stop();
    const answers = await Promise.all(
      HOSTS.map(host => file(host, `from ${host}`)),
    );
    for (const answer of answers) expect(answer.end).to.equal('served');
    for (const host of HOSTS) expect(runsOf(`from ${host}`)).to.equal(1);
  });

  it('runs a call only once if the peer dies', async () => {
    for (const service of services()) service.workMs = 300;
    const answer = file('b-1', 'peer dies');
    await cluster.until(() => runsOf('peer dies') > 0);
    cluster.daemon('a-1').kill();
    cluster.daemon('a-2').kill();
    await answer;
    await new Promise(resolve => setTimeout(resolve, 500));
    expect(runsOf('peer dies')).to.equal(1);
  });

  it('never sends a call twice on a closing connection', async () => {
    let requests = 0;
    const server: Server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', data => {
        requests += data.toString('latin1').split('POST /').length - 1;
        // The request was received; the connection ends without a response.
        socket.end();
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    await cluster.publish([
      {
        kind: 'target',
        name: 'closing',
        fields: {zone: 'a', kind: 'service', url},
      },
      {
        kind: 'route',
        name: 'filing',
        fields: {targets: 'closing', teams: 'inspectors', repeatable: 'no'},
      },
    ]);
    const answer = await file('a-1', 'half closed');
    server.close();
    expect(answer.end).to.equal(CALLER_END.mayHaveRun);
    expect(requests).to.equal(1);
  });

  it('runs an idempotency key once over all hosts', async () => {
    for (const service of services()) service.workMs = 100;
    const answers = await Promise.all(
      Array.from({length: 12}, (unused, number) =>
        file(HOSTS[number % HOSTS.length], 'same', 'key-1'),
      ),
    );
    expect(runsOf('same')).to.equal(1);
    const served = answers.filter(answer => answer.end === 'served');
    const others = answers.filter(answer => answer.end !== 'served');
    expect(new Set(served.map(answer => answer.text)).size).to.equal(1);
    for (const answer of others) expect(answer.status).to.equal(409);
  });

  it('returns the stored response at any host', async () => {
    const first = await file('a-1', 'stored', 'key-2');
    for (const host of HOSTS) {
      await cluster.until(async () => {
        const repeat = await file(host, 'stored', 'key-2');
        return repeat.end === 'served' && repeat.text === first.text;
      });
    }
    expect(runsOf('stored')).to.equal(1);
  });

  it('refuses an idempotency key that was used for other content', async () => {
    await file('a-1', 'one', 'key-3');
    const other = await file('a-2', 'two', 'key-3');
    expect(other.status).to.equal(409);
    expect(runsOf('two')).to.equal(0);
  });

  it('runs an idempotency key once if the log loses responses', async () => {
    const {log} = cluster;
    log.faults = {...log.faults, loseAnswers: 3};
    await Promise.all(HOSTS.map(host => file(host, 'log answers', 'key-4')));
    expect(runsOf('log answers')).to.equal(1);
  });

  it('refuses while the log is down and does not run the call later', async () => {
    const {log} = cluster;
    log.faults = {...log.faults, down: true};
    const refused = await file('a-1', 'log down', 'key-5');
    expect(refused.end).to.equal(CALLER_END.notRun);
    expect(refused.code).to.equal('log-unavailable');
    log.faults = {...log.faults, down: false};
    const repeat = await file('a-2', 'log down', 'key-5');
    expect(repeat.end).to.equal('served');
    expect(runsOf('log down')).to.equal(1);
  });

  it('frees an idempotency key whose claim appears after the refusal', async () => {
    const {log} = cluster;
    // Every append takes effect, but all responses including those of reads are
    // lost, so the claim is on the log and its host does not know it.
    await file('a-1', 'before', 'key-6');
    log.faults = {...log.faults, loseAnswers: 10_000};
    const refused = await file('a-1', 'late claim', 'key-7');
    log.faults = {...log.faults, loseAnswers: 0};
    expect(refused.end).to.equal(CALLER_END.notRun);
    expect(runsOf('late claim')).to.equal(0);
    await cluster.until(async () => {
      const repeat = await file('a-2', 'late claim', 'key-7');
      return repeat.end === 'served';
    });
    expect(runsOf('late claim')).to.equal(1);
  });

  it('stores the response for a caller that disconnected', async () => {
    for (const service of services()) service.workMs = 200;
    const gone = new AbortController();
    const headers = {'idempotency-key': 'key-8'};
    const caller = cluster.caller('a-1');
    const first = caller.service('left', {headers, signal: gone.signal});
    await cluster.until(() => runsOf('left') > 0);
    gone.abort();
    await first;
    await cluster.until(async () => {
      const repeat = await file('b-1', 'left', 'key-8');
      return repeat.end === 'served';
    });
    expect(runsOf('left')).to.equal(1);
  });
});
