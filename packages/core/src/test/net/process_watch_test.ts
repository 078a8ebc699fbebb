import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  ConnectionWatch,
  Ping,
  WATCH_RESULT,
  openConnection,
} from '../../lib/net/process_watch.js';
import {SystemClock} from '../../lib/time/system_clock.js';

const HOST = '127.0.0.1';
const SETTLE_MS = 30;

/** Time after which another connection stands, in milliseconds. */
const RECONNECT_MS = 400;

const TIMEOUT_MS = 400;
const OK = 200;
const REPLY = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';
const PING: Ping = {
  request: 'GET /ping HTTP/1.1\r\n\r\n',
  isReply: status => status === OK,
};

describe('ConnectionWatch', () => {
  let server: Server;
  let sockets: Socket[];
  let respond: (socket: Socket) => unknown;
  let watch: ConnectionWatch;
  const {signal} = new AbortController();

  beforeEach(async () => {
    sockets = [];
    respond = socket => socket.write(REPLY);
    server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => void respond(socket));
    });
    await new Promise<void>(done => server.listen(0, HOST, done));
    const {port} = server.address() as AddressInfo;
    watch = new ConnectionWatch({
      clock: new SystemClock(),
      open: closing => openConnection({host: HOST, port}, closing),
      ping: () => PING,
    });
    await sleep(SETTLE_MS);
  });

  afterEach(() => {
    watch.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });

  const check = () => watch.check(TIMEOUT_MS, signal);

  it('takes a reply for a sign of life', async () => {
    expect(await check()).to.equal(WATCH_RESULT.outlived);
  });

  it('takes no end for a sign of life that comes after the request', async () => {
    respond = socket => socket.end();
    expect(await check()).to.equal(WATCH_RESULT.silent);
  });

  it('finds a connection that ends with the answer', async () => {
    const checked = check();
    sockets[0].end();
    expect(await checked).to.equal(WATCH_RESULT.endedTogether);
  });

  it('takes nothing for a reply that was sent before the request', async () => {
    sockets[0].write('HTTP/1.1 408 Request Timeout\r\n\r\n');
    expect(await check()).to.equal(WATCH_RESULT.unwatched);
  });

  it('reads a status whose head comes in parts', async () => {
    respond = async socket => {
      socket.write('HTTP/1.1 4');
      await sleep(SETTLE_MS);
      socket.write('21 Misdirected Request\r\n\r\n');
    };
    expect(await check()).to.equal(WATCH_RESULT.otherProcess);
  });

  it('goes on with another connection after an idle one was closed', async () => {
    sockets[0].end();
    await sleep(RECONNECT_MS);
    expect(sockets).to.have.lengthOf(2);
    watch.recordReceived();
    expect(await check()).to.equal(WATCH_RESULT.outlived);
  });

  it('does not ask another connection that stands since the last bytes only', async () => {
    sockets[0].end();
    await sleep(RECONNECT_MS);
    expect(await check()).to.equal(WATCH_RESULT.unwatched);
  });

  it('gives up a connection that is being set up', async () => {
    const closing = new AbortController();
    const {port} = server.address() as AddressInfo;
    const opened = openConnection({host: HOST, port}, closing.signal);
    closing.abort();
    expect(await opened).to.equal(undefined);
  });
});
