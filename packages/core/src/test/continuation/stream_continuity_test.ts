import {expect} from 'chai';
import {ContinuityWorld, SERVICE, TIMEOUT_MS} from './continuity_world.js';

/** Time in which hosts tell each other of streams. */
const SPREAD_MS = 1_000;

/** Longer than a stream can last. */
const LONG_MS = 2 * TIMEOUT_MS;

describe('StreamContinuity', () => {
  let world: ContinuityWorld;

  beforeEach(async () => {
    world = new ContinuityWorld(3);
    world.setTargets('v1', 'v1');
    await world.clock.advance(LONG_MS);
  });

  const versions = (id: string | undefined) =>
    world.hosts.map(host => host.versionOf(id));

  it('continues any stream while only one version has run', () => {
    expect(versions('unknown')).to.deep.equal(['v1', 'v1', 'v1']);
    expect(versions(undefined)).to.deep.equal(['v1', 'v1', 'v1']);
  });

  it('sends nothing while only one version runs', async () => {
    let messages = 0;
    for (const host of world.hosts) host.versions.addPast([]);
    await world.clock.advance(SPREAD_MS);
    world.hub.onMessage = () => messages++;
    world.hosts[1].begin('s', 'v1');
    await world.clock.advance(SPREAD_MS);
    expect(messages).to.equal(0);
  });

  it('continues no unknown stream while several versions run', async () => {
    world.setTargets('v1', 'v2');
    await world.clock.advance(SPREAD_MS);
    expect(versions('unknown')).to.deep.equal([
      undefined,
      undefined,
      undefined,
    ]);
  });

  it('continues no stream of a version that is not known', async () => {
    world.hosts[1].begin('s', undefined);
    await world.clock.advance(SPREAD_MS);
    expect(versions('s')).to.deep.equal([undefined, undefined, undefined]);
  });

  it('lets every host know where a stream has begun', async () => {
    world.setTargets('v1', 'v2');
    world.hosts[1].begin('s', 'v2');
    world.hosts[0].begin('t', 'v1');
    await world.clock.advance(SPREAD_MS);
    expect(versions('s')).to.deep.equal(['v2', 'v2', 'v2']);
    expect(versions('t')).to.deep.equal(['v1', 'v1', 'v1']);
  });

  it('spreads streams that began before the second version came', async () => {
    world.hosts[1].begin('s', 'v1');
    await world.clock.advance(SPREAD_MS);
    world.setTargets('v1', 'v2');
    await world.clock.advance(SPREAD_MS);
    expect(versions('s')).to.deep.equal(['v1', 'v1', 'v1']);
  });

  it('keeps streams for the next passing host', async () => {
    world.setTargets('v1', 'v2');
    world.passing = undefined;
    world.hosts[1].begin('s', 'v2');
    await world.clock.advance(SPREAD_MS);
    world.passing = 2;
    await world.clock.advance(2 * SPREAD_MS);
    expect(versions('s')).to.deep.equal(['v2', 'v2', 'v2']);
  });

  it('tells a host that was restarted', async () => {
    world.setTargets('v1', 'v2');
    for (const host of world.hosts) host.versions.addPast([]);
    world.hosts[1].begin('s', 'v2');
    await world.clock.advance(SPREAD_MS);
    world.startHost(1);
    await world.clock.advance(SPREAD_MS);
    expect(world.hosts[1].versionOf('s')).to.equal('v2');
  });

  it('sends each stream once more to a new passing host, not all that is known', async () => {
    world.setTargets('v1', 'v2');
    for (const host of world.hosts) host.versions.addPast([]);
    for (let i = 0; i < 300; i++) world.hosts[i % 3].begin(`s${i}`, 'v2');
    await world.clock.advance(2 * SPREAD_MS);
    let keys = 0;
    world.hub.onMessage = (unusedFrom, body) => {
      const sent = JSON.stringify(body).match(/"[0-9a-f]{16}"/g);
      keys += sent?.length ?? 0;
    };
    world.passing = 2;
    await world.clock.advance(2 * SPREAD_MS);
    expect(keys).to.be.within(1, 300);
  });

  it('continues no stream of another team', async () => {
    world.setTargets('v1', 'v2');
    world.hosts[0].begin('s', 'v1');
    await world.clock.advance(SPREAD_MS);
    expect(world.hosts[0].versionOf('s', 'other')).to.equal(undefined);
  });

  it('continues unknown streams again once the old version has long left', async () => {
    world.setTargets('v2', 'v2');
    await world.clock.advance(SPREAD_MS);
    expect(versions('unknown')).to.deep.equal([
      undefined,
      undefined,
      undefined,
    ]);
    await world.clock.advance(LONG_MS);
    expect(versions('unknown')).to.deep.equal(['v2', 'v2', 'v2']);
  });

  it('continues no unknown stream soon after a start without knowledge of the past', async () => {
    world.passing = undefined;
    const host = world.startHost(1);
    host.versions.recordListed();
    host.setTarget('t0', 'v1');
    await world.clock.advance(SPREAD_MS);
    expect(host.versionOf('unknown')).to.equal(undefined);
    await world.clock.advance(LONG_MS);
    expect(host.versionOf('unknown')).to.equal('v1');
  });

  it('continues no unknown stream with an old list of targets', () => {
    world.hosts[0].listAgeMs = 8_000;
    expect(world.hosts[0].versionOf('unknown')).to.equal(undefined);
  });

  it('takes a version that is not known for the same as no other', async () => {
    world.setTargets(undefined, undefined);
    await world.clock.advance(LONG_MS);
    expect(world.hosts[0].versionOf('unknown')).to.equal(undefined);
  });

  it('learns of past versions of a service from another host', () => {
    const host = world.startHost(1);
    host.setTarget('t0', 'v2');
    const past = {service: SERVICE, softwareVersion: 'v1', agoMs: 2_000};
    host.versions.addPast([past]);
    expect(host.versionOf('unknown')).to.equal(undefined);
    host.versions.addPast([]);
    expect(host.versionOf('unknown')).to.equal(undefined);
  });
});
