import {RETRY_AFTER_S, FAULTY_ANSWER} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {ROUTE_PATH, PlatformWorld} from '../../lib/platform_world.js';

const MS_PER_SECOND = 1_000;

/** Maximum number of bytes of an endless response that a target may send. */
const MAX_FLOOD_BYTES = 4 * 1_024 * 1_024;

/** Time within which an update takes effect at all hosts, in milliseconds. */
const UPDATE_TIMEOUT_MS = 2_000;

describe('GatewayHost and the signals of workers', () => {
  let world: PlatformWorld;

  afterEach(async () => {
    await world.stop();
  });

  it('sends no requests to a worker that announces its leaving in a response', async () => {
    world = await PlatformWorld.start();
    const [leaving, other] = world.plain;
    leaving.isLeaving = true;
    while (leaving.runs.length === 0) await world.call(ROUTE_PATH.once);
    const before = leaving.runs.length;
    // A later registration of the same process does not revoke the signal.
    world.registerTargets();
    world.store.faults = {...world.store.faults, down: true};
    for (let i = 0; i < 30; i++) {
      const res = await world.call(ROUTE_PATH.once);
      expect(res.status).to.equal(200);
    }
    expect(leaving.runs).to.have.lengthOf(before);
    expect(other.runs.length).to.be.at.least(30);
  });

  it('passes the signal on to the other hosts', async () => {
    world = await PlatformWorld.start(2);
    await world.until(() => world.hosts.some(host => host.canOrder));
    const [leaving] = world.plain;
    leaving.isLeaving = true;
    while (leaving.runs.length === 0) await world.call(ROUTE_PATH.once);
    const toldMs = performance.now() + UPDATE_TIMEOUT_MS;
    await world.until(() => performance.now() > toldMs);
    const before = leaving.runs.length;
    for (let i = 0; i < 20; i++)
      await world.call(ROUTE_PATH.once, {host: i % 2});
    expect(leaving.runs).to.have.lengthOf(before);
  });

  it('sends no requests to a worker for its retry-after time', async () => {
    world = await PlatformWorld.start();
    const [full, other] = world.plain;
    full.faultyAnswers.push(FAULTY_ANSWER.refuseFor);
    while (full.retryAfterSentMs.length === 0) {
      expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
    }
    const [namedMs] = full.retryAfterSentMs;
    const untilMs = namedMs + RETRY_AFTER_S * MS_PER_SECOND;
    while (performance.now() < untilMs - 100) {
      expect((await world.call(ROUTE_PATH.once)).status).to.equal(200);
    }
    const early = full.arrivalsMs.filter(
      ms => ms > namedMs + 1 && ms < untilMs - 1,
    );
    expect(early).to.have.lengthOf(0);
    expect(other.runs.length).to.be.above(0);
    await world.until(() => performance.now() > untilMs);
    while (full.runs.length === 0) await world.call(ROUTE_PATH.once);
  });

  it('refuses at once with a retry-after time when all workers are backing off', async () => {
    world = await PlatformWorld.start();
    for (const worker of world.plain)
      worker.faultyAnswers.push(FAULTY_ANSWER.refuseFor);
    const res = await world.call(ROUTE_PATH.once);
    expect(res.status).to.equal(503);
    expect(Number(res.headers['retry-after'])).to.be.within(
      RETRY_AFTER_S / 2,
      RETRY_AFTER_S,
    );
    expect(world.plain[0].runs).to.have.lengthOf(0);
  });
});

describe('GatewayHost and malformed responses', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  const endless = [
    FAULTY_ANSWER.endlessRefusal,
    FAULTY_ANSWER.endlessHead,
    FAULTY_ANSWER.endlessInterim,
    FAULTY_ANSWER.endlessExtension,
    FAULTY_ANSWER.endlessTrailer,
  ];
  for (const fault of endless) {
    it(`limits ${fault} and serves the next caller`, async () => {
      const [flooding, other] = world.plain;
      flooding.faultyAnswers.push(fault);
      const id = `flood-${fault}`;
      while (flooding.floodBytes === 0) {
        await world.call(ROUTE_PATH.once, {id});
      }
      const runs = world.countRuns(id);
      const last = await world.call(ROUTE_PATH.once, {id: 'next'});
      expect(last.status).to.equal(200);
      expect(last.body).to.equal('done next');
      expect(runs).to.be.at.least(1);
      let sent = -1;
      // The worker keeps sending while its connection is open.
      while (sent !== flooding.floodBytes) {
        sent = flooding.floodBytes;
        await world.call(ROUTE_PATH.once);
      }
      expect(flooding.floodBytes).to.be.below(MAX_FLOOD_BYTES);
      expect(other.runs.length + flooding.runs.length).to.be.above(1);
    });
  }

  it('drops the second copy of a response', async () => {
    for (let i = 0; i < 12; i++) {
      for (const worker of world.plain)
        worker.faultyAnswers.push(FAULTY_ANSWER.twice);
      const id = `twice-${i}`;
      const first = await world.call(ROUTE_PATH.once, {id});
      expect(first.body).to.equal(`done ${id}`);
      // The next request is in flight when the copy arrives. Its own response
      // is not duplicated, because that copy would reach the first request of
      // the next round.
      for (const worker of world.plain) {
        worker.faultyAnswers.length = 0;
        worker.workMs = 60;
      }
      const next = await world.call(ROUTE_PATH.once, {id: `next-${i}`});
      for (const worker of world.plain) worker.workMs = 0;
      expect(world.countRuns(`next-${i}`)).to.be.at.most(1);
      if (next.status === 200) expect(next.body).to.equal(`done next-${i}`);
      else expect(next.status).to.equal(502);
    }
  });
});
