import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  STORE_TOPIC,
} from '../../lib/platform_world.js';

const HOSTS = 3;
const REQUESTS = 30;
const KEY = 'evacuate/a';

/** Time from the confirmation of a record within which it is in force. */
const EVACUATE_MS = 5_000;

describe('GatewayHosts and an evacuated zone', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start(HOSTS, 1, {plainZones: ['a', 'b']});
    await world.until(() => world.hosts.some(host => host.canOrder));
  });

  afterEach(async () => {
    await world.stop();
  });

  const put = (key: string, value: unknown) =>
    world.store.put(STORE_TOPIC.operator, key, value);

  /** Sends requests to all hosts; returns how many reached zone `a`. */
  async function callAll(): Promise<number> {
    const [inZone] = world.plain;
    const before = inZone.requestArrivalsMs.length;
    for (let i = 0; i < REQUESTS; i++) {
      const res = await world.call(ROUTE_PATH.repeatable, {host: i % HOSTS});
      expect(res.status).to.equal(200);
    }
    return inZone.requestArrivalsMs.length - before;
  }

  async function untilLogged(event: string): Promise<void> {
    const count = () => world.lines.filter(line => line.includes(event)).length;
    await world.until(() => count() >= HOSTS);
  }

  it('send nothing there from the bound on, and use it after its return', async () => {
    expect(await callAll()).to.be.above(0);
    const beganMs = performance.now();
    put(KEY, {});
    await untilLogged('zone_evacuated');
    expect(performance.now() - beganMs).to.be.at.most(EVACUATE_MS);
    expect(await callAll()).to.equal(0);
    put(KEY, undefined);
    await untilLogged('zone_returned');
    expect(await callAll()).to.be.above(0);
  });

  it('refuse requests for a service that has targets nowhere else', async () => {
    put(KEY, {});
    await untilLogged('zone_evacuated');
    const runs = world.engine.runs.length;
    const headers = {'x-fuchsiacleat-model': 'm1'};
    const res = await world.call(ROUTE_PATH.resumable, {headers});
    expect(res.status).to.equal(503);
    expect(world.engine.runs.length).to.equal(runs);
  });

  // Guards against a new host that takes a compacted topic for one without
  // evacuations.
  it('keep to it after a restart of all of them', async () => {
    put(KEY, {});
    await untilLogged('zone_evacuated');
    world.store.compact(STORE_TOPIC.operator);
    await world.restartHosts();
    await world.until(() => world.hosts.every(host => host.isReady));
    expect(await callAll()).to.equal(0);
  });

  // Guards against a reader that waits behind the end of a topic that came back
  // shorter, and never reads what is appended there.
  it('learn of it after the store has lost the newest records', async () => {
    for (let i = 0; i < 4; i++) put(`note/${i}`, {});
    await untilLogged('operator_record_ignored');
    world.store.forget([STORE_TOPIC.operator], 4);
    put(KEY, {});
    await untilLogged('zone_evacuated');
    expect(await callAll()).to.equal(0);
  });

  it('make visible what they do not understand', async () => {
    put('evacuate/', {});
    put('unknown', {});
    const logged = (text: string) =>
      world.lines.some(line => line.includes(text));
    await world.until(() => logged('key=unknown'));
    expect(logged('key=evacuate/')).to.equal(true);
    expect(logged('field=Services[].Protocol')).to.equal(true);
  });
});
