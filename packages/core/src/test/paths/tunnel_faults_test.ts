import {once} from 'node:events';
import {Socket, connect} from 'node:net';
import {expect} from 'chai';
import {CheckedClient} from '../../lib/net/checked_client.js';
import {TUNNEL_SIDE, Tunnel, TunnelBreak} from '../../lib/paths/tunnel.js';
import {openTunnel} from '../../lib/paths/tunnel_client.js';
import {frameHeader} from '../../lib/paths/tunnel_frames.js';
import {TunnelServer} from '../../lib/paths/tunnel_server.js';
import {TunnelFault, TunnelSocket} from '../../lib/paths/tunnel_socket.js';
import {LogFields, Logger} from '../../lib/telemetry/logger.js';
import {SystemClock} from '../../lib/time/system_clock.js';
import {ADDRESS, listen} from './tunnel_fixtures.js';

const TIMEOUT_MS = 500;
const FAULT = new Error('planted');

class RecordingLogger extends Logger {
  readonly lines: Array<[event: string, fields: LogFields]> = [];

  override log(unusedLevel: string, event: string, fields: LogFields): void {
    this.lines.push([event, fields]);
  }
}

function throwFault(): never {
  throw FAULT;
}

/** Returns both ends of a connection. */
async function createConnection(): Promise<[near: Socket, far: Socket]> {
  let far: Socket | undefined;
  const {port, server} = await listen(socket => (far = socket));
  const near = connect(port, ADDRESS);
  await once(near, 'connect');
  while (far === undefined) await new Promise(setImmediate);
  server.close();
  return [near, far];
}

describe('An error in the handling of one tunnel', () => {
  it('ends a request for a tunnel and no other', async () => {
    const {port, server} = await listen(() => {});
    const logger = new RecordingLogger();
    let isFaulty = true;
    const helper = new TunnelServer({
      clock: new SystemClock(),
      logger,
      admit: () => (isFaulty ? throwFault() : undefined),
    });
    const stop = new AbortController();
    const address = {address: ADDRESS, port: 0};
    const helperPort = await helper.listen(address, stop.signal);
    const options = {
      helper: {address: ADDRESS, port: helperPort},
      target: `${ADDRESS}:${port}`,
      timeoutMs: TIMEOUT_MS,
    };
    const failed = await openTunnel(options);
    isFaulty = false;
    const opened = await openTunnel(options);
    opened.map(socket => socket.on('error', () => {}));
    stop.abort();
    server.close();
    expect(failed._unsafeUnwrapErr().message).to.include('ECONNRESET');
    expect(opened.isOk()).to.equal(true);
    const [event, {message, side}] = logger.lines[0];
    expect([event, message, side]).to.deep.equal([
      'tunnel_broken',
      'planted',
      'host',
    ]);
  });

  it('breaks that tunnel at the helper host', async () => {
    const [client, farClient] = await createConnection();
    const [target] = await createConnection();
    target.write = throwFault;
    const closed = new Promise<TunnelBreak | undefined>(resolve =>
      new Tunnel(client, target, resolve).start(Buffer.alloc(0)),
    );
    farClient.write('a request');
    const code = undefined;
    const broken = {side: TUNNEL_SIDE.host, code, fault: FAULT};
    expect(await closed).to.deep.equal(broken);
  });

  it('breaks that connection at the host that uses it', async () => {
    const [socket, helper] = await createConnection();
    const tunnel = new TunnelSocket(socket, Buffer.alloc(0));
    tunnel.push = throwFault;
    helper.write(frameHeader(1));
    helper.write('x');
    const [error] = (await once(tunnel, 'error')) as [TunnelFault];
    expect(error.cause).to.equal(FAULT);
    expect(socket.destroyed).to.equal(true);
  });

  it('fails the request of that connection, and is reported', async () => {
    const faults: Error[] = [];
    const client = new CheckedClient(`http://${ADDRESS}:80`, {
      connectThrough: {address: ADDRESS, port: 70_000},
      connectTimeoutMs: TIMEOUT_MS,
      onFault: fault => faults.push(fault),
    });
    const code = await client
      .request({method: 'GET', path: '/'})
      .catch((error: NodeJS.ErrnoException) => error.code);
    await client.destroy();
    expect(code).to.equal('ERR_TUNNEL');
    expect(faults).to.have.length(1);
  });
});
