import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

const ROUNDS = 10;
const ID_HEADER = /x-fuchsiacleat-attempt-id: (\S+)/i;

/** Sends the begin of an answer without a length, and resets its connection. */
function breakOff(socket: Socket, request: string): void {
  const id = ID_HEADER.exec(request)?.[1];
  const begin =
    `HTTP/1.1 200 OK\r\nx-fuchsiacleat-attempt-id: ${id}\r\n` +
    'x-fuchsiacleat-server-stamp: stamp\r\n\r\nthe first of two parts';
  socket.write(begin, () => socket.resetAndDestroy());
}

// Node reports a reset as the end of the stream if it finds it together with the
// last bytes. The answer was passed on as complete.
describe('GatewayHost and a target that resets an answer without a length', () => {
  let target: Server;
  let world: PlatformWorld;

  beforeEach(async () => {
    target = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', chunk => breakOff(socket, String(chunk)));
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

  it('does not pass it on as complete', async () => {
    for (let i = 0; i < ROUNDS; i++) {
      const caller = await RawCaller.open(world.callerUrl());
      const ended = new Promise(done => caller.socket.on('close', done));
      caller.send({path: ROUTE_PATH.once, id: `reset-${i}`});
      const wasServed = () => / 200 OK/.test(caller.text);
      await Promise.race([ended, world.until(() => caller.isAnswered)]);
      const isReset = caller.errorCode === 'ECONNRESET';
      expect(wasServed() && !isReset, caller.text).to.equal(false);
      caller.socket.destroy();
    }
  });
});
