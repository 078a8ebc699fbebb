import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

/** Sizes of bodies, in bytes: from few to more than connections buffer. */
const FIRST_SIZE = 250_000;
const SIZE_STEP = 50_000;
const ROUNDS = 8;
const CALLERS = 12;

/** Time for which a caller doesn't read, in milliseconds. */
const UNREAD_MS = 300;

const ID_HEADER = /x-fuchsiacleat-attempt-id: (\S+)/i;

/** Sends a whole answer and closes the connection, as a server that stops. */
function respond(socket: Socket, request: string): void {
  const id = ID_HEADER.exec(request)?.[1] ?? '';
  const body = Buffer.alloc(FIRST_SIZE + Number(id.slice(5)) * SIZE_STEP, 'a');
  socket.write(
    `HTTP/1.1 200 OK\r\nx-fuchsiacleat-attempt-id: ${id}\r\n` +
      'x-fuchsiacleat-server-stamp: stamp\r\nconnection: close\r\n' +
      `content-length: ${body.length}\r\n\r\n`,
  );
  socket.end(body);
}

// The host sent the next request through the client of the connection, which
// connected again, and took its whole answer for broken.
describe('GatewayHost, a slow caller and a target that closes its connection', () => {
  let target: Server;
  let world: PlatformWorld;

  beforeEach(async () => {
    target = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', chunk => respond(socket, String(chunk)));
    });
    await new Promise<void>(done => target.listen(0, '127.0.0.1', done));
    const {port} = target.address() as AddressInfo;
    const prepare = async ({plain}: PlatformWorld) => {
      plain[0].registeredPort = port;
    };
    world = await PlatformWorld.start(1, 1, {plainCount: 1, prepare});
  });

  afterEach(async () => {
    await world.stop();
    target.close();
  });

  async function call(number: number): Promise<string> {
    const caller = await RawCaller.open(world.callerUrl());
    caller.send({path: ROUTE_PATH.once, id: `slow-${number}`});
    caller.socket.pause();
    await sleep(UNREAD_MS);
    caller.socket.resume();
    await caller.waitForEnd();
    expect(caller.isAnswered, caller.text.slice(0, 200)).to.equal(true);
    caller.socket.destroy();
    return caller.text.slice(0, 200);
  }

  it('passes whole answers on', async () => {
    for (let round = 0; round < ROUNDS; round++) {
      const first = round * CALLERS;
      const calls: Array<Promise<string>> = [];
      for (let i = 0; i < CALLERS; i++) calls.push(call(first + i));
      const texts = await Promise.all(calls);
      for (const text of texts) expect(text).to.match(/^HTTP\/1\.1 200 /);
    }
  });
});
