import {AddressInfo, Server} from 'node:net';
import {constants} from 'node:os';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';

const LISTENERS = ['peers', 'tunnels', 'metrics', 'ready', 'callers'];

/** What Node is told about a connection that could not be accepted. */
interface ListeningHandle {
  onconnection(status: number): void;
}

function addressOf(server: Server): string | undefined {
  return (server.address() as AddressInfo | null)?.address;
}

/** Lets a server fail to accept a connection, as the system reports it. */
function failToAccept(server: Server): void {
  const {_handle: handle} = server as unknown as {_handle: ListeningHandle};
  handle.onconnection(-constants.errno.ENOBUFS);
}

// Node emits an error of accepting on the server. Without a listener the process
// ended, and all requests in flight with it.
describe('GatewayHost that cannot accept connections', () => {
  const {listen} = Server.prototype;
  const servers = new Set<Server>();
  let world: PlatformWorld;

  beforeEach(async () => {
    Server.prototype.listen = function (this: Server, ...args: unknown[]) {
      servers.add(this);
      return (listen as (...args: unknown[]) => Server).apply(this, args);
    } as typeof listen;
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    Server.prototype.listen = listen;
    servers.clear();
    await world.stop();
  });

  it('goes on after several connections that it could not accept', async () => {
    const {hostname} = new URL(world.callerUrl());
    const own = [...servers].filter(server => addressOf(server) === hostname);
    expect(own).to.have.lengthOf(LISTENERS.length);
    for (const server of own) {
      failToAccept(server);
      failToAccept(server);
    }
    const {status} = await world.call(ROUTE_PATH.once);
    expect(status).to.equal(200);
    for (const listener of LISTENERS) {
      const line = `event=accept_failed .*listener=${listener} code=ENOBUFS`;
      expect(world.lines.join('\n')).to.match(new RegExp(line));
    }
  });
});
