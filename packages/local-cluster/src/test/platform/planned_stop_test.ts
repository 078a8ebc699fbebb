import {connect, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  HOST_NAME,
  TEAM_KEY,
  ROUTE_PATH,
  PlatformWorld,
} from '../../lib/platform_world.js';

const BODY = 'x'.repeat(400);

/** Time after the stop for which connections are accepted, in milliseconds. */
const ACCEPT_TIME_MS = 2_600;

function head(id: string): string {
  return (
    `POST ${ROUTE_PATH.once} HTTP/1.1\r\nhost: ${HOST_NAME}\r\n` +
    `x-fuchsiacleat-attempt-id: ${id}\r\n` +
    `x-fuchsiacleat-deadline-ms: 4000\r\nx-fuchsiacleat-key: ${TEAM_KEY}\r\n` +
    `content-length: ${BODY.length}\r\n\r\n`
  );
}

/** Raw caller connection that records the received text. */
class RawCaller {
  text = '';
  isClosed = false;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk => (this.text += String(chunk)));
    socket.on('close', () => (this.isClosed = true));
    socket.on('error', () => (this.isClosed = true));
  }

  static async open(url: string): Promise<RawCaller> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    await new Promise(resolve => socket.once('connect', resolve));
    return new RawCaller(socket);
  }

  async waitForEnd(): Promise<void> {
    while (!this.isClosed && !this.text.includes('done ')) await sleep(10);
  }
}

describe('GatewayHost during a planned stop', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  for (const restMs of [100, ACCEPT_TIME_MS + 300]) {
    it(`answers a request whose body ends ${restMs} ms after the stop`, async () => {
      const caller = await RawCaller.open(world.callerUrl());
      caller.socket.write(head('slow') + BODY.slice(0, 200));
      await sleep(50);
      const stopped = world.hosts[0].stop();
      await sleep(restMs);
      caller.socket.write(BODY.slice(200));
      await caller.waitForEnd();
      // A late request is refused as not run, which is a valid response too.
      expect(caller.text).to.match(/^HTTP\/1\.1 (200|503) /);
      if (restMs < ACCEPT_TIME_MS) expect(caller.text).to.contain('done slow');
      expect(caller.text).to.match(/connection: close/i);
      await stopped;
    });
  }

  it('answers requests on open and new connections after the stop', async () => {
    const kept = await RawCaller.open(world.callerUrl());
    kept.socket.write(head('first') + BODY);
    await kept.waitForEnd();
    kept.text = '';
    const stopped = world.hosts[0].stop();
    await sleep(300);
    const fresh = await RawCaller.open(world.callerUrl());
    fresh.socket.write(head('fresh') + BODY);
    kept.socket.write(head('kept') + BODY);
    await Promise.all([fresh.waitForEnd(), kept.waitForEnd()]);
    expect(fresh.text).to.contain('done fresh');
    expect(kept.text).to.contain('done kept');
    await stopped;
  });

  it('does not end requests in progress at a second stop', async () => {
    for (const worker of world.plain) worker.workMs = 500;
    const caller = await RawCaller.open(world.callerUrl());
    caller.socket.write(head('twice') + BODY);
    await sleep(100);
    void world.hosts[0].stop();
    await world.hosts[0].stop();
    expect(caller.text).to.contain('done twice');
  });

  it('does not log the caller as the end of a request whose connection it closes', async () => {
    for (const worker of world.plain) worker.workMs = 100;
    const caller = await RawCaller.open(world.callerUrl());
    const stopped = world.hosts[0].stop();
    caller.socket.write(head('quick') + BODY);
    await sleep(50);
    for (const worker of world.plain) worker.workMs = 600;
    caller.socket.write(head('late') + BODY);
    await stopped;
    expect(caller.text).to.contain('done quick');
    // The caller has closed nothing.
    const ofLate = world.lines.filter(line => line.includes(' id=late '));
    expect(ofLate.join('\n')).not.to.contain('ended_by=caller');
  });
});
