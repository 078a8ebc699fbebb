import {expect} from 'chai';
import {
  HOST_NAME,
  PlatformWorld,
  ROUTE_PATH,
  TEAM_KEY,
} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

const DEADLINE_MS = 700;
const ROUTE_TIMEOUT_MS = 900;
const ROUNDS = 3;

function head(id: string, deadlineMs: number): string {
  return (
    `POST ${ROUTE_PATH.stream} HTTP/1.1\r\nhost: ${HOST_NAME}\r\n` +
    `x-fuchsiacleat-attempt-id: ${id}\r\nx-fuchsiacleat-model: m1\r\n` +
    `x-fuchsiacleat-deadline-ms: ${deadlineMs}\r\n` +
    `x-fuchsiacleat-key: ${TEAM_KEY}\r\ncontent-length: 0\r\n\r\n`
  );
}

// Streams were reset 15 ms before their time was over.
describe('GatewayHost and a stream that outlasts its time', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    const routes = {timeoutMs: ROUTE_TIMEOUT_MS};
    world = await PlatformWorld.start(1, 1, {routes});
    world.engine.streamEvents = 200;
    world.engine.eventGapMs = 20;
  });

  afterEach(async () => {
    await world.stop();
  });

  /** Returns the time from the last byte of a request to the end of its answer. */
  async function timeToEnd(id: string, deadlineMs: number): Promise<number> {
    const caller = await RawCaller.open(world.callerUrl());
    const ended = new Promise(resolve => caller.socket.on('close', resolve));
    const startMs = performance.now();
    caller.socket.write(head(id, deadlineMs));
    await ended;
    expect(caller.text).to.match(/^HTTP\/1\.1 200 /);
    return performance.now() - startMs;
  }

  for (const deadlineMs of [DEADLINE_MS, 2 * ROUTE_TIMEOUT_MS]) {
    const limitMs = Math.min(deadlineMs, ROUTE_TIMEOUT_MS);
    const limit = deadlineMs === limitMs ? 'deadline' : "route's timeout";
    it(`is not cut before its ${limit} is over`, async () => {
      for (let i = 0; i < ROUNDS; i++)
        expect(await timeToEnd(`r${i}`, deadlineMs)).to.be.at.least(limitMs);
    });
  }
});
