import {expect} from 'chai';
import {PATH_VERDICT} from '../../lib/paths/path_view.js';
import {DIRECT_PATH} from '../../lib/paths/target_paths.js';
import {Answer, PathHost, PathWorld} from './path_world.js';

/** Time by which a lost path has to be replaced, in milliseconds. */
const DETECTION_MS = 1_500;

const TWO_ZONES = ['a', 'a', 'a', 'b', 'b', 'b'];

describe('PathMonitor: a host that reaches no target', () => {
  let world: PathWorld;
  let host: PathHost;

  beforeEach(async () => {
    world = await new PathWorld(TWO_ZONES).start();
    host = world.hosts[2];
  });

  afterEach(() => world.stop.abort());

  for (const answer of ['hang', 'refuse'] satisfies Answer[]) {
    it(`uses tunnels to all after one connection attempt that meets: ${answer}`, async () => {
      host.cut(answer);
      void host.connect('t3');
      const tookMs = await world.runUntil(
        () => host.monitor.isCutOff,
        DETECTION_MS,
      );
      expect(tookMs).to.be.below(DETECTION_MS);
      expect(host.helpers()).to.not.include(undefined);
      expect(host.host.paths.isSound).to.equal(false);
    });
  }

  it('notices that its open connections have gone silent', async () => {
    host.target('t1').beginRequest(undefined);
    host.cut('hang');
    const tookMs = await world.runUntil(
      () => host.monitor.isCutOff,
      DETECTION_MS,
    );
    expect(tookMs).to.be.below(DETECTION_MS);
    await world.run(600);
    expect(host.abandoned).to.deep.equal(['t1']);
  });

  it('judges on after an unexpected error in a judgement', async () => {
    const target = host.target('t3');
    host.network.call = () => {
      throw new Error('planted');
    };
    await world.run(2_000);
    const sound = host.monitor.judge(target);
    await world.run(1_000);
    expect(await sound).to.equal(PATH_VERDICT.sound);
    host.cut('refuse', ['t3']);
    const failed = host.monitor.judge(target);
    await world.run(1_000);
    expect(await failed).to.equal(PATH_VERDICT.unknown);
  });

  it('leaves open connections alone that live on', async () => {
    const target = host.target('t1');
    target.beginRequest(undefined);
    host.cut('refuse');
    void host.connect('t3');
    for (let ms = 0; ms < 2_000; ms += 100) {
      host.monitor.recordReceived(target, DIRECT_PATH);
      await world.run(100);
    }
    expect(host.monitor.isCutOff).to.equal(true);
    expect(host.abandoned).to.deep.equal([]);
  });

  it('is helped when the other hosts of its zone are cut off too', async () => {
    for (const cut of world.hosts.slice(0, 3)) cut.cut('refuse');
    void host.connect('t3');
    await world.runUntil(() => host.monitor.isCutOff, DETECTION_MS);
    await world.run(DETECTION_MS);
    expect(host.monitor.isCutOff).to.equal(true);
    expect(host.send('t5')).to.be.within(1, 4);
  });

  it('refuses requests at once if no other host can help', async () => {
    for (const cut of world.hosts) cut.cut('hang');
    for (const cut of world.hosts) void cut.connect('t3');
    await world.run(2 * DETECTION_MS);
    expect(host.monitor.isCutOff).to.equal(true);
    expect(host.send('t5')).to.equal(undefined);
  });

  it('keeps its last helpers while there is no lease holder', async () => {
    world.holder = undefined;
    host.cut('hang');
    void host.connect('t3');
    await world.runUntil(() => host.monitor.isCutOff, DETECTION_MS);
    expect(host.helpers()).to.not.include(undefined);
  });

  it('connects directly again soon after the cut', async () => {
    host.cut('hang');
    void host.connect('t3');
    await world.run(3_000);
    host.cuts.clear();
    const tookMs = await world.runUntil(
      () => !host.monitor.hasLost,
      DETECTION_MS,
    );
    expect(tookMs).to.be.below(DETECTION_MS);
    expect(host.helpers().every(name => name === undefined)).to.equal(true);
  });

  it('does not believe that a target has ended', async () => {
    host.cut('refuse');
    const target = host.target('t3');
    expect(await settle(world, host.monitor.confirmEnded(target))).to.equal(
      false,
    );
    const verdict = await settle(world, host.monitor.judge(target));
    expect(verdict).to.equal(PATH_VERDICT.lost);
  });
});

describe('PathMonitor: a host with sound paths', () => {
  let world: PathWorld;
  let host: PathHost;

  beforeEach(async () => {
    world = await new PathWorld(TWO_ZONES).start();
    host = world.hosts[2];
  });

  afterEach(() => world.stop.abort());

  it('makes no checks without a suspicion', async () => {
    await world.run(10_000);
    for (const {checks} of world.hosts) expect(checks).to.equal(0);
  });

  it('keeps to the direct path while a sound target sends nothing', async () => {
    host.target('t1').beginRequest(undefined);
    await world.run(10_000);
    expect(host.monitor.hasLost).to.equal(false);
    expect(host.checks).to.be.within(1, 8);
  });

  it('keeps to it when single checks are lost on the way', async () => {
    host.target('t1').beginRequest(undefined);
    host.lostChecks = 1;
    await world.run(2_000);
    expect(host.checks).to.be.above(1);
    expect(host.monitor.hasLost).to.equal(false);
  });

  for (const [answer, verdict] of [
    ['refuse', PATH_VERDICT.targetEnded],
    ['hang', PATH_VERDICT.targetSilent],
  ] as const) {
    it(`blames a target that meets all hosts with: ${answer}`, async () => {
      world.answers.set('t3', answer);
      const judged = host.monitor.judge(host.target('t3'));
      expect(await settle(world, judged)).to.equal(verdict);
      await world.run(2_000);
      expect(host.monitor.hasLost).to.equal(false);
    });
  }

  it('loses no path to a target that fails while no other host can tell', async () => {
    world.stop.abort();
    world = await new PathWorld(['a']).start();
    [host] = world.hosts;
    world.answers.set('t3', 'hang');
    const judged = host.monitor.judge(host.target('t3'));
    expect(await settle(world, judged)).to.equal(PATH_VERDICT.unknown);
    expect(host.monitor.hasLost).to.equal(false);
  });

  it('confirms the end of a target', async () => {
    world.answers.set('t3', 'refuse');
    const confirmed = host.monitor.confirmEnded(host.target('t3'));
    expect(await settle(world, confirmed)).to.equal(true);
  });

  it('uses tunnels only to the targets whose paths are lost', async () => {
    host.cut('hang', ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']);
    void host.connect('t3');
    await world.run(2 * DETECTION_MS);
    const isTunneled = host.helpers().map(name => name !== undefined);
    expect(isTunneled.slice(0, 8)).to.not.include(false);
    expect(isTunneled.slice(8)).to.not.include(true);
    expect(host.monitor.isCutOff).to.equal(false);
  });
});

describe('PathMonitor: helpers', () => {
  let world: PathWorld;

  afterEach(() => world.stop.abort());

  it('does not choose hosts that are cut off, and shares the others', async () => {
    world = await new PathWorld([...'aaaaaaaaa', ...'bbb']).start();
    const cut = world.hosts.slice(0, 8);
    for (const host of cut) host.cut('hang');
    for (const host of cut) void host.connect('t3');
    await world.run(6_000);
    for (const host of cut) void host.connect('t3');
    await world.run(2_000);
    const cutNames = cut.map(({network}) => network.self.host);
    const counts = new Map<string | undefined, number>();
    for (const host of cut) {
      expect(host.monitor.isCutOff).to.equal(true);
      for (const name of host.helpers())
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts.has(undefined)).to.equal(false);
    for (const name of cutNames) expect(counts.has(name)).to.equal(false);
    expect(counts.get('h8')).to.be.below(0.7 * 8 * world.answers.size);
    expect(counts.size).to.be.above(2);
  });

  it('learns that it is cut off when another host asks it for help', async () => {
    world = await new PathWorld(['a', 'a', 'a', 'b']).start();
    const cut = world.hosts.slice(0, 3);
    for (const host of cut) host.cut('refuse');
    void cut[0].connect('t3');
    await world.run(2_000);
    void cut[0].connect('t4');
    await world.run(1_000);
    expect(cut[0].send('t5')).to.be.within(1, 3);
    expect(cut.filter(({monitor}) => monitor.isCutOff).length).to.be.above(1);
  });

  it('replaces a helper that has failed', async () => {
    world = await new PathWorld(TWO_ZONES).start();
    const host = world.hosts[2];
    host.cut('hang');
    void host.connect('t3');
    await world.run(2_000);
    const target = host.target('t3');
    const path = host.monitor.pathTo(target);
    expect(host.monitor.pathTo(target)).to.deep.equal(path);
    host.monitor.recordConnectFailure(target, path, 'ERR_TUNNEL');
    const next = host.monitor.pathTo(target);
    expect(next.type).to.equal('tunnel');
    expect(next).to.not.deep.equal(path);
  });
});

/** Returns the result of a promise that needs time to pass. */
async function settle<T>(world: PathWorld, promise: Promise<T>): Promise<T> {
  await world.run(1_000);
  return promise;
}
