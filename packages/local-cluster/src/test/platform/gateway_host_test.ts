import {connect} from 'node:net';
import {FAULTY_ANSWER, FaultyAnswer} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  HOST_NAME,
  PlatformWorld,
  ROUTE_PATH,
  TEAM_KEY,
} from '../../lib/platform_world.js';

/**
 * Streams over a socket of its own, as HTTP clients take a reset for the end of
 * an unframed body; returns how the connection ended.
 */
function endOfRawStream(world: PlatformWorld): Promise<string> {
  const {hostname, port} = new URL(world.callerUrl());
  const socket = connect(Number(port), hostname);
  socket.write(
    `POST ${ROUTE_PATH.stream} HTTP/1.1\r\nhost: ${HOST_NAME}\r\n` +
      `x-fuchsiacleat-key: ${TEAM_KEY}\r\nx-fuchsiacleat-model: m1\r\n` +
      'x-fuchsiacleat-attempt-id: raw\r\ncontent-length: 0\r\n\r\n',
  );
  socket.resume();
  return new Promise(resolve => {
    socket.on('end', () => resolve('end'));
    socket.on('error', ({code}: NodeJS.ErrnoException) => resolve(code ?? ''));
  });
}

describe('GatewayHost on platform stand-ins', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  function injectFaults(...faults: FaultyAnswer[]): void {
    for (const worker of world.plain) worker.faultyAnswers.push(...faults);
  }

  it('forwards a request with the team and without the key', async () => {
    const res = await world.call(`${ROUTE_PATH.once}a?b=c`, {body: 'text'});
    expect(res.status).to.equal(200);
    expect(res.headers['x-fuchsiacleat-server-stamp']).to.match(/^p\d\.stamp$/);
    const [run] = world.plain.flatMap(({runs}) => runs);
    expect(run.path).to.equal(`${ROUTE_PATH.once}a?b=c`);
    expect(run.body).to.equal('text');
    expect(run.headers['x-fuchsiacleat-tenant']).to.equal('team');
    expect(run.headers).to.not.have.property('x-fuchsiacleat-key');
    expect(Number(run.headers['x-fuchsiacleat-deadline-ms'])).to.be.at.most(
      3_000,
    );
  });

  it('drops headers that only the system may set', async () => {
    const headers = {
      'x-fuchsiacleat-tenant': 'other',
      'x-fuchsiacleat-hold': 'h',
      'kv-from': '1.2.3.4:5/x',
    };
    await world.call(ROUTE_PATH.once, {headers});
    const [run] = world.plain.flatMap(({runs}) => runs);
    expect(run.headers['x-fuchsiacleat-tenant']).to.equal('team');
    expect(run.headers).to.not.have.property('x-fuchsiacleat-hold');
    expect(run.headers).to.not.have.property('kv-from');
  });

  it('refuses unknown keys and routes and keeps serving', async () => {
    const headers = {'x-fuchsiacleat-key': 'stranger'};
    expect((await world.call(ROUTE_PATH.once, {headers})).status).to.equal(401);
    expect((await world.call('/nowhere/')).status).to.equal(404);
    expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
  });

  it('runs a non-repeatable request only once after any faulty response', async () => {
    const kinds = [
      FAULTY_ANSWER.lose,
      FAULTY_ANSWER.cut,
      FAULTY_ANSWER.otherId,
      FAULTY_ANSWER.unsigned,
    ];
    for (const kind of kinds) {
      injectFaults(kind);
      const id = `once-${kind}`;
      const res = await world.call(ROUTE_PATH.once, {id});
      expect(res.status, kind).to.equal(502);
      expect(world.countRuns(id), kind).to.equal(1);
      for (const worker of world.plain) worker.faultyAnswers.length = 0;
    }
  });

  it('reports "not run" only if no worker ran the request', async () => {
    injectFaults(...Array.from({length: 20}, () => FAULTY_ANSWER.refuse));
    const res = await world.call(ROUTE_PATH.once, {id: 'refused'});
    expect(res.status).to.equal(503);
    expect(Number(res.headers['retry-after'])).to.be.above(0);
    expect(world.countRuns('refused')).to.equal(0);
  });

  it('retries a repeatable request after a lost response', async () => {
    world.plain[0].faultyAnswers.push(FAULTY_ANSWER.lose);
    world.plain[1].faultyAnswers.push(FAULTY_ANSWER.lose);
    const res = await world.call(ROUTE_PATH.repeatable, {id: 'again'});
    expect(world.countRuns('again')).to.equal(2);
    expect(res.status).to.equal(502);
    const next = await world.call(ROUTE_PATH.repeatable, {id: 'later'});
    expect(next.status).to.equal(200);
  });

  // The end of a killed host's connection looked like the end of the response.
  it('passes a response that ends with its connection on in chunks', async () => {
    injectFaults(FAULTY_ANSWER.unframed);
    const res = await world.call(ROUTE_PATH.once);
    expect(res.headers['transfer-encoding']).to.equal('chunked');
    expect(res.headers).to.not.have.property('content-length');
  });

  it('resets a caller whose unframed stream ended inside an event', async () => {
    world.engine.faultyAnswers.push(FAULTY_ANSWER.unframedShort);
    expect(await endOfRawStream(world)).to.equal('ECONNRESET');
    world.engine.faultyAnswers.push(FAULTY_ANSWER.unframed);
    expect(await endOfRawStream(world)).to.equal('end');
  });

  it('streams events and loads a missing model', async () => {
    const headers = {'x-fuchsiacleat-model': 'm1'};
    const res = await world.call(ROUTE_PATH.stream, {headers});
    expect(res.body).to.match(/^id: 1\n[^]*id: 4\ndata: piece\n\n$/);
    const other = {'x-fuchsiacleat-model': 'm2'};
    const loaded = await world.call(ROUTE_PATH.stream, {headers: other});
    expect(loaded.status).to.equal(200);
    expect(world.engine.orders).to.deep.equal(['unload m1', 'load m2']);
  });

  it('refuses an unknown model and keeps serving', async () => {
    for (let i = 0; i < 3; i++) {
      const headers = {'x-fuchsiacleat-model': 'none'};
      const refused = await world.call(ROUTE_PATH.stream, {headers});
      expect(refused.status).to.equal(503);
    }
    const headers = {'x-fuchsiacleat-model': 'm1'};
    const served = await world.call(ROUTE_PATH.stream, {headers});
    expect(served.status).to.equal(200);
  });

  it('refuses a key after its withdrawal', async () => {
    expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
    world.publish(['another']);
    for (;;) {
      const {status} = await world.call(ROUTE_PATH.once);
      if (status === 401) break;
      expect(status).to.equal(200);
    }
  });

  it('sends no requests to a draining worker', async () => {
    world.registerTargets('draining');
    let status = 200;
    while (status === 200) status = (await world.call(ROUTE_PATH.once)).status;
    expect(status).to.equal(503);
    const before = world.plain.flatMap(({runs}) => runs).length;
    await world.call(ROUTE_PATH.once);
    expect(world.plain.flatMap(({runs}) => runs).length).to.equal(before);
  });

  it('refuses keys during a long store outage and recovers', async () => {
    world.store.faults = {...world.store.faults, down: true};
    await world.until(() => !world.hosts[0].isReady);
    const res = await world.call(ROUTE_PATH.once);
    expect(res.status).to.equal(503);
    world.store.faults = {...world.store.faults, down: false};
    await world.until(() => world.hosts[0].isReady);
    expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
  });

  it('continues to read after the store has compacted its topics', async () => {
    world.publish(['other']);
    world.store.compact('keyed.op');
    world.publish(['key-1']);
    world.store.compact('keyed.op');
    world.registerTargets();
    world.store.compact('keyed.servers');
    await world.until(() => world.store.callCounts.get('/log-newest')! >= 4);
    expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
  });

  it('finishes running requests when stopped', async () => {
    for (const worker of world.plain) worker.workMs = 400;
    const running = world.call(ROUTE_PATH.once);
    await world.until(() => world.plain.some(({runs}) => runs.length > 0));
    const stopped = world.hosts[0].stop();
    expect((await running).status).to.equal(200);
    await stopped;
  });
});

describe('Several GatewayHosts', () => {
  it('order through one lease holder and elect another one after its death', async () => {
    const world = await PlatformWorld.start(3);
    try {
      const headers = {'x-fuchsiacleat-model': 'm2'};
      for (let host = 0; host < 3; host++) {
        const res = await world.call(ROUTE_PATH.stream, {host, headers});
        expect(res.status).to.equal(200);
      }
      expect(world.engine.orders).to.deep.equal(['unload m1', 'load m2']);
      const holder = world.hosts.findIndex(host => host.canOrder);
      expect(holder).to.be.at.least(0);
      world.hosts[holder].terminate();
      const left = world.hosts.filter((unused, i) => i !== holder);
      await world.until(() => left.some(host => host.canOrder));
      expect(world.store.malformedCalls).to.deep.equal([]);
    } finally {
      await world.stop();
    }
  });

  it('recover from the store after all of them were killed', async () => {
    const world = await PlatformWorld.start(3);
    try {
      await world.until(() => world.hosts.some(host => host.canOrder));
      await world.restartHosts();
      await world.until(() => world.hosts.every(host => host.isReady));
      for (const model of ['m1', 'm2']) {
        const headers = {'x-fuchsiacleat-model': model};
        for (let host = 0; host < 3; host++) {
          let {status} = await world.call(ROUTE_PATH.stream, {host, headers});
          while (status === 503) {
            ({status} = await world.call(ROUTE_PATH.stream, {host, headers}));
          }
          expect(status).to.equal(200);
        }
      }
      expect(world.hosts.filter(host => host.canOrder).length).to.equal(1);
    } finally {
      await world.stop();
    }
  });
});
