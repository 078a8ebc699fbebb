import {expect} from 'chai';
import {PlatformWorkerStandin} from '@fuchsiacleat/standins';
import {Client} from 'undici';
import {
  HOST_NAME,
  PlatformWorld,
  ROUTE_PATH,
  TEAM_KEY,
} from '../../lib/platform_world.js';

const STREAMS = 12;
const EVENTS = 12;
const EVENT_GAP_MS = 40;

/** Versions of the engines; each has one other of its version. */
const MIXED = ['v1', 'v1', 'v2', 'v2', 'v3', 'v3'];

/** Events that a caller has when its connection breaks. */
const EVENTS_BEFORE_BREAK = 3;

/** Time in which hosts learn of a target's version, and of streams. */
const SPREAD_MS = 1_500;

const HEADERS = {
  host: HOST_NAME,
  'x-fuchsiacleat-deadline-ms': '3000',
  'x-fuchsiacleat-key': TEAM_KEY,
  'x-fuchsiacleat-model': 'm1',
  'x-fuchsiacleat-token-count': '100,20',
};

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

/** What a caller has received of a stream, over all its attempts. */
interface Received {
  id: string;
  text: string;
  /** Status of the last attempt; 0 if it had none. */
  status: number;
}

/** Calls hosts, breaks connections off and takes streams up again. */
class StreamCaller {
  private readonly clients: Client[] = [];
  private count = 0;

  constructor(private readonly world: PlatformWorld) {}

  /** Begins a stream and leaves once it has some events. */
  async beginAndBreak(host: number): Promise<Received> {
    const received = this.newStream();
    await this.attempt(received, host, received.id, EVENTS_BEFORE_BREAK);
    return received;
  }

  /** Begins a stream and reads it to its end, or until it breaks off. */
  async read(host: number): Promise<Received> {
    const received = this.newStream();
    await this.attempt(received, host, received.id, Infinity);
    return received;
  }

  /** Takes a stream up again at a host, and reads it to its end. */
  async takeUp(received: Received, host: number): Promise<void> {
    const id = `${received.id}-again-${this.count++}`;
    await this.attempt(received, host, id, Infinity);
  }

  async stop(): Promise<void> {
    for (const client of this.clients) await client.destroy();
  }

  private newStream(): Received {
    return {id: `s${this.count++}`, text: '', status: 0};
  }

  private async attempt(
    received: Received,
    host: number,
    id: string,
    mostEvents: number,
  ): Promise<void> {
    const client = new Client(this.world.callerUrl(host));
    this.clients.push(client);
    const after = countEvents(received.text);
    const resumed =
      after === 0 ? {} : {'last-event-id': `${after}`, resumes: received.id};
    try {
      const res = await client.request({
        method: 'POST',
        path: ROUTE_PATH.resumable,
        body: received.id,
        headers: {...HEADERS, ...resumed, 'x-fuchsiacleat-attempt-id': id},
      });
      received.status = res.statusCode;
      const isStream = res.statusCode === 200;
      for await (const chunk of res.body) {
        if (isStream) received.text += String(chunk);
        if (countEvents(received.text) >= mostEvents) break;
      }
    } catch {
      // The connection broke off.
    }
    received.text = received.text.slice(
      0,
      received.text.lastIndexOf('\n\n') + 2,
    );
  }
}

function countEvents(text: string): number {
  return text.split('\n\n').length - 1;
}

function versionsIn({text}: Received): string[] {
  const matches = text.matchAll(/^data: of (.+)$/gm);
  return [...new Set([...matches].map(([, version]) => version))];
}

function joined(streams: readonly Received[]): string[] {
  return streams
    .filter(stream => versionsIn(stream).length > 1)
    .map(({id}) => id);
}

function whole(streams: readonly Received[]): Received[] {
  return streams.filter(({text}) => countEvents(text) === EVENTS);
}

describe('GatewayHost with targets of two software versions', () => {
  let world: PlatformWorld;
  let caller: StreamCaller;

  async function start(hosts: number, versions: string[]): Promise<void> {
    const prepare = async ({engines}: PlatformWorld) => {
      for (const [i, engine] of engines.entries())
        setVersion(engine, versions[i]);
    };
    const options = {prepare, routes: {timeoutMs: 8_000}};
    world = await PlatformWorld.start(hosts, versions.length, options);
    caller = new StreamCaller(world);
    for (const engine of world.engines) {
      engine.streamEvents = EVENTS;
      engine.eventGapMs = EVENT_GAP_MS;
      engine.onRestart = () => world.registerTargets();
    }
    await pause(SPREAD_MS);
  }

  function setVersion(engine: PlatformWorkerStandin, version: string): void {
    engine.softwareVersion = version;
    engine.piece = `of ${version}`;
  }

  /** Kills all hosts and waits until they serve again. */
  async function restartHosts(): Promise<void> {
    await world.restartHosts();
    await world.until(() => world.hosts.every(host => host.isReady));
    await world.until(() => world.hosts.some(host => host.canOrder));
  }

  /** Ends the engine that has run the most requests. */
  async function crashBusiest(): Promise<void> {
    const byRuns = [...world.engines].sort(
      (a, b) => b.runs.length - a.runs.length,
    );
    await byRuns[0].crash();
  }

  /** Begins streams at all hosts in turn and breaks them off. */
  function beginStreams(hosts: number): Promise<Received[]> {
    const begin = (unusedItem: unknown, i: number) =>
      caller.beginAndBreak(i % hosts);
    return Promise.all(Array.from({length: STREAMS}, begin));
  }

  afterEach(async () => {
    await caller.stop();
    await world.stop();
  });

  it('joins no two versions in one answer when targets end', async () => {
    await start(1, MIXED);
    const reads = Array.from({length: STREAMS}, () => caller.read(0));
    await pause(EVENTS_BEFORE_BREAK * EVENT_GAP_MS);
    await crashBusiest();
    const streams = await Promise.all(reads);
    expect(joined(streams)).to.deep.equal([]);
    expect(whole(streams).length).to.be.at.least(STREAMS / 2);
  });

  it('joins no two versions when callers take streams up at another host', async () => {
    await start(3, MIXED);
    const streams = await beginStreams(3);
    await pause(SPREAD_MS);
    await crashBusiest();
    const takeUps = streams.map((each, i) =>
      caller.takeUp(each, i + 1 < 3 ? i + 1 : i % 2),
    );
    await Promise.all(takeUps);
    expect(joined(streams)).to.deep.equal([]);
    expect(whole(streams).length).to.be.at.least(STREAMS / 2);
  });

  it('goes on after the host that served the first event was lost', async () => {
    await start(3, MIXED);
    const begin = () => caller.beginAndBreak(0);
    const streams = await Promise.all(Array.from({length: STREAMS}, begin));
    await pause(SPREAD_MS);
    await crashBusiest();
    world.hosts[0].terminate();
    await Promise.all(
      streams.map((each, i) => caller.takeUp(each, 1 + (i % 2))),
    );
    expect(joined(streams)).to.deep.equal([]);
    expect(whole(streams).length).to.be.at.least(STREAMS / 2);
  });

  it('goes on after all hosts were killed', async () => {
    await start(2, MIXED);
    const streams = await beginStreams(2);
    await pause(SPREAD_MS);
    await restartHosts();
    await pause(SPREAD_MS);
    await Promise.all(streams.map((each, i) => caller.takeUp(each, i % 2)));
    expect(joined(streams)).to.deep.equal([]);
    expect(whole(streams).length).to.be.at.least(STREAMS / 2);
  });

  it('joins no two versions after all hosts were killed as the old version had just left', async () => {
    await start(2, ['v1', 'v2']);
    const streams = await beginStreams(2);
    await world.removeEngine(world.engines[0]);
    await pause(SPREAD_MS);
    await restartHosts();
    await Promise.all(streams.map((each, i) => caller.takeUp(each, i % 2)));
    expect(joined(streams)).to.deep.equal([]);
  });

  it('goes on with streams that began before a second version came', async () => {
    await start(2, ['v1', 'v1', 'v1']);
    const streams = await beginStreams(2);
    setVersion(world.engines[2], 'v2');
    await world.engines[2].crash();
    await pause(SPREAD_MS);
    await Promise.all(
      streams.map((each, i) => caller.takeUp(each, (i + 1) % 2)),
    );
    expect(joined(streams)).to.deep.equal([]);
    expect(whole(streams).length).to.be.at.least(STREAMS / 2);
  });

  it('goes on with streams of the only version after all hosts were killed', async () => {
    await start(2, ['v1', 'v1']);
    const streams = await beginStreams(2);
    await restartHosts();
    await pause(SPREAD_MS);
    await Promise.all(streams.map((each, i) => caller.takeUp(each, i % 2)));
    expect(whole(streams).length).to.equal(STREAMS);
  });
});
