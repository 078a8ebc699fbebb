import {setTimeout as sleep} from 'node:timers/promises';
import {FAULTY_ANSWER} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  STORE_TOPIC,
  TEAM_KEY,
  platformConfig,
} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

const PLAY_MS = 6_000;
const REQUEST_INTERVAL_MS = 10;
const CONFIG_INTERVAL_MS = 40;

/** Longer than any request may take. */
const MAX_ANSWER_MS = 6_000;

interface Config {
  Routes: Array<{Service: string; Resumable: boolean}>;
  Services: Array<{Engine?: {Models: object[]}}>;
  Tenants: object[];
  Limits: object;
}

const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** Changes that take away what a request was accepted with. */
const CHANGES: Array<(config: Config) => void> = [
  () => {},
  config => (config.Routes = []),
  config => (config.Routes = config.Routes.slice(0, 2)),
  config => (config.Services = config.Services.slice(0, 1)),
  config => (config.Services = config.Services.slice(1)),
  config => (config.Services[1].Engine!.Models = []),
  config => delete config.Services[1].Engine,
  config => (config.Tenants = []),
  config => (config.Limits = {...LIMITS, IdleTimeoutMs: 100}),
  config => (config.Limits = {...LIMITS, MaxBodyBytes: 1}),
  config => config.Routes.forEach(route => (route.Service = 'nowhere')),
  config => config.Routes.forEach(route => (route.Service = 'registry')),
];

describe('GatewayHost while configurations change', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  it('answers each request although what it was accepted with is gone', async () => {
    for (const worker of world.workers) worker.workMs = 60;
    world.plain[0].requestsPerSecond = 10;
    const callers: RawCaller[] = [];
    const endMs = performance.now() + PLAY_MS;
    let version = 100;
    let nextConfigMs = 0;
    for (let i = 0; performance.now() < endMs; i++) {
      if (performance.now() >= nextConfigMs) {
        nextConfigMs = performance.now() + CONFIG_INTERVAL_MS;
        publish(version++);
        if (version % 10 === 0) addFaults();
      }
      callers.push(await sendOn(i));
      await sleep(REQUEST_INTERVAL_MS);
    }
    const ends = Promise.all(callers.map(caller => caller.waitForEnd()));
    await Promise.race([ends, sleep(MAX_ANSWER_MS)]);
    const broken = world.lines.filter(line => line.includes('request_broke'));
    expect(broken).to.deep.equal([]);
    const unanswered: string[] = [];
    for (const [i, {isAnswered, text}] of callers.entries())
      if (!isAnswered) unanswered.push(`req-${i}: ${text}`);
    expect(unanswered).to.deep.equal([]);
    const versions = new Set(
      world.lines.map(line => /config=(\d+)/.exec(line)?.[1]),
    );
    expect(versions.size).to.be.above(CHANGES.length);
    for (const caller of callers) caller.socket.destroy();
  });

  function publish(version: number): void {
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    const config = platformConfig(version, teams) as Config;
    for (const route of config.Routes) route.Resumable = version % 3 === 0;
    config.Limits = LIMITS;
    CHANGES[version % CHANGES.length](config);
    world.store.put(STORE_TOPIC.operator, 'config', config);
  }

  function addFaults(): void {
    for (const worker of world.plain)
      worker.faultyAnswers.push(FAULTY_ANSWER.refuse, FAULTY_ANSWER.lose);
    world.engine.faultyAnswers.push(FAULTY_ANSWER.lose, FAULTY_ANSWER.refuse);
  }

  /** Sends a request on a new connection, of each kind in turn. */
  async function sendOn(i: number): Promise<RawCaller> {
    const caller = await RawCaller.open(world.callerUrl());
    const paths = Object.values(ROUTE_PATH);
    const path = paths[i % paths.length];
    const models = ['m1', 'm2', 'm3'];
    const model =
      path === ROUTE_PATH.stream
        ? models[Math.floor(i / paths.length) % models.length]
        : undefined;
    caller.send({path, id: `req-${i}`, body: 'xy', model});
    return caller;
  }
});
