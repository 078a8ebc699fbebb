import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {Server, Socket, connect} from 'node:net';
import {Duplex} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {Result} from 'neverthrow';
import {CheckedClient} from '../../lib/net/checked_client.js';
import {TunnelError, openTunnel} from '../../lib/paths/tunnel_client.js';
import {END_FRAME, frameHeader} from '../../lib/paths/tunnel_frames.js';
import {TUNNEL_REFUSAL} from '../../lib/paths/tunnel_refusal.js';
import {
  TunnelServer,
  TunnelServerParts,
} from '../../lib/paths/tunnel_server.js';
import {TunnelSocket} from '../../lib/paths/tunnel_socket.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {SystemClock} from '../../lib/time/system_clock.js';
import {
  ADDRESS,
  freePort,
  listen,
  listenWithoutReply,
} from './tunnel_fixtures.js';

const BODY = randomBytes(1_000_000);
const CHUNK_BYTES = 10_000;

/** Bytes that the buffers of four sockets do not hold. */
const FLOOD_BYTES = 128 * 1_024 * 1_024;
const MAX_FLOOD_BYTES = 48 * 1_024 * 1_024;
const FLOOD_MS = 1_000;

const LEAVE_MS = 500;
const TIMEOUT_MS = 700;
const SET_UP_MS = 1_000;

/** Answers with the same body, by the way they are framed. */
const ANSWERS: Record<string, (socket: Socket) => void> = {
  'a length': socket => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${BODY.length}\r\n\r\n`);
    socket.write(BODY);
  },
  chunks: socket => {
    socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
    for (let at = 0; at < BODY.length; at += CHUNK_BYTES) {
      socket.write(`${CHUNK_BYTES.toString(16)}\r\n`);
      socket.write(BODY.subarray(at, at + CHUNK_BYTES));
      socket.write('\r\n');
    }
    socket.write('0\r\n\r\n');
  },
  'its connection': socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n');
    socket.end(BODY);
  },
};

const PART = 'HTTP/1.1 200 OK\r\n\r\npart of a body';

/**
 * Writes as much as a connection takes.
 *
 * @returns a function that returns the number of bytes that it has taken.
 */
function flood(connection: Duplex): () => number {
  let takenBytes = 0;
  const chunk = Buffer.alloc(CHUNK_BYTES);
  const write = () =>
    connection.write(chunk, error => {
      takenBytes += chunk.length;
      if (!error && takenBytes < FLOOD_BYTES) write();
    });
  write();
  return () => takenBytes;
}

describe('TunnelServer', () => {
  const closing: Array<() => unknown> = [];
  const clock = new SystemClock();
  let helper: TunnelServer;
  let helperPort: number;
  let stop: AbortController;

  async function startHelper(
    parts: Partial<TunnelServerParts> = {},
  ): Promise<void> {
    const logger = new SilentLogger();
    helper = new TunnelServer({
      clock,
      logger,
      admit: () => undefined,
      ...parts,
    });
    stop = new AbortController();
    const address = {address: ADDRESS, port: 0};
    helperPort = await helper.listen(address, stop.signal);
  }

  async function startTarget(
    handle: (socket: Socket) => void,
  ): Promise<{server: Server; port: number}> {
    const target = await listen(handle);
    closing.push(() => target.server.close());
    return target;
  }

  async function open(
    port: number,
  ): Promise<Result<TunnelSocket, NodeJS.ErrnoException>> {
    const opened = await openTunnel({
      helper: {address: ADDRESS, port: helperPort},
      target: `${ADDRESS}:${port}`,
      timeoutMs: TIMEOUT_MS,
    });
    return opened.map(socket => socket.on('error', () => {}));
  }

  function request(port: number, signal?: AbortSignal) {
    const client = new CheckedClient(`http://${ADDRESS}:${port}`, {
      connectThrough: {address: ADDRESS, port: helperPort},
      connectTimeoutMs: TIMEOUT_MS,
    });
    closing.push(() => client.destroy());
    return client.request({method: 'GET', path: '/', signal});
  }

  async function codeOf(work: Promise<unknown>): Promise<string | undefined> {
    try {
      await work;
      return undefined;
    } catch (error) {
      return (error as NodeJS.ErrnoException).code;
    }
  }

  async function refusalOf(port: number): Promise<string | undefined> {
    const opened = await open(port);
    if (opened.isOk()) opened.value.destroy();
    const error = opened.isErr() ? opened.error : undefined;
    return error instanceof TunnelError ? error.reason : error?.code;
  }

  beforeEach(() => startHelper());

  afterEach(async () => {
    stop.abort();
    for (const close of closing.splice(0)) await close();
  });

  for (const [framing, answer] of Object.entries(ANSWERS)) {
    it(`passes on an answer that ends with ${framing} unchanged`, async () => {
      const {port} = await startTarget(socket =>
        socket.once('data', () => answer(socket)),
      );
      const {body} = await request(port);
      const bytes = Buffer.from(await body.arrayBuffer());
      expect(bytes.equals(BODY)).to.equal(true);
      expect(helper.counts.broken).to.equal(0);
    });
  }

  it('does not take an answer for complete whose target was reset', async () => {
    const {port} = await startTarget(socket =>
      socket.once('data', () =>
        socket.write(PART, () => socket.resetAndDestroy()),
      ),
    );
    const answered = request(port).then(({body}) => body.text());
    expect(await codeOf(answered)).to.equal('UND_ERR_SOCKET');
    expect(helper.counts.broken).to.equal(1);
  });

  it('does not take an answer for complete whose helper host was killed', async () => {
    const {port} = await startTarget(() => {});
    const killed = await startTarget(socket =>
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n');
        socket.once('data', () => {
          socket.write(frameHeader(PART.length));
          // The operating system closes the connections of the process.
          socket.end(PART);
        });
      }),
    );
    helperPort = killed.port;
    const answered = request(port).then(({body}) => body.text());
    expect(await codeOf(answered)).to.equal('UND_ERR_SOCKET');
  });

  it('does not take an answer for complete that a stop cuts before it is read', async () => {
    const {port} = await startTarget(socket =>
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n');
        socket.end(Buffer.alloc(MAX_FLOOD_BYTES));
      }),
    );
    const {body} = await request(port);
    await sleep(LEAVE_MS);
    stop.abort();
    expect(await codeOf(body.text())).to.equal('UND_ERR_SOCKET');
  });

  it('closes the connection to the target when the client leaves', async () => {
    let left: Promise<unknown> | undefined;
    const {port} = await startTarget(socket => {
      socket.once('data', () => socket.write(PART));
      left = once(socket, 'end').catch(() => {});
    });
    const leave = new AbortController();
    const {body} = await request(port, leave.signal);
    body.on('error', () => {});
    leave.abort();
    const ended = left?.then(() => 'closed');
    expect(await Promise.race([ended, sleep(LEAVE_MS)])).to.equal('closed');
  });

  it('reads from a target no faster than the client does', async () => {
    let takenBytes = () => 0;
    const {port} = await startTarget(socket => (takenBytes = flood(socket)));
    const client = (await open(port))._unsafeUnwrap();
    await sleep(FLOOD_MS);
    expect(takenBytes()).to.be.within(1, MAX_FLOOD_BYTES);
    client.destroy();
  });

  it('reads from a client no faster than the target does', async () => {
    const {port} = await startTarget(socket => socket.pause());
    const client = (await open(port))._unsafeUnwrap();
    const takenBytes = flood(client);
    await sleep(FLOOD_MS);
    expect(takenBytes()).to.be.within(1, MAX_FLOOD_BYTES);
    client.destroy();
  });

  it('passes the end of one direction on and lets the other go on', async () => {
    const {port} = await startTarget(socket => {
      const received: Buffer[] = [];
      socket.on('data', bytes => received.push(bytes));
      socket.on('end', () => socket.end(Buffer.concat(received)));
    });
    const client = (await open(port))._unsafeUnwrap();
    client.end(BODY);
    const echoed = Buffer.concat(await client.toArray());
    expect(echoed.equals(BODY)).to.equal(true);
    expect(helper.counts.broken).to.equal(0);
  });

  it('passes on what the client sent with its request for a tunnel', async () => {
    const {port} = await startTarget(socket => socket.pipe(socket));
    const client = connect(helperPort, ADDRESS);
    client.end(`CONNECT ${ADDRESS}:${port} HTTP/1.1\r\nhost: t\r\n\r\nearly`);
    const answer = Buffer.concat(await client.toArray()).toString('latin1');
    const expected = `${frameHeader(5).toString('latin1')}early${END_FRAME.toString('latin1')}`;
    expect(answer).to.equal(`HTTP/1.1 200 OK\r\n\r\n${expected}`);
  });

  it('tells what has failed when nothing was sent', async () => {
    const unused = await freePort();
    expect(await codeOf(request(unused))).to.equal('ECONNREFUSED');
    const silent = await listenWithoutReply();
    closing.push(silent.close);
    const startMs = clock.now();
    const code = await codeOf(request(silent.port));
    expect(code).to.equal('UND_ERR_CONNECT_TIMEOUT');
    expect(clock.now() - startMs).to.be.below(SET_UP_MS);
    helperPort = silent.port;
    expect(await refusalOf(unused)).to.equal('timeout');
    helperPort = unused;
    expect(await codeOf(request(unused))).to.equal('ERR_TUNNEL');
  });

  it('connects only to admitted targets, at most to as many as it may', async () => {
    let connections = 0;
    const {port} = await startTarget(() => (connections += 1));
    const other = await startTarget(() => (connections += 100));
    stop.abort();
    const admit = (target: string, from: string | undefined) =>
      target === `${ADDRESS}:${port}` && from === ADDRESS
        ? undefined
        : TUNNEL_REFUSAL.unknownTarget;
    await startHelper({admit, maxTunnels: 2});
    expect(await refusalOf(other.port)).to.equal('unknown-target');
    const tunnels = [await open(port), await open(port)];
    expect(await refusalOf(port)).to.equal('full');
    expect(connections).to.equal(2);
    tunnels[0]._unsafeUnwrap().resetAndDestroy();
    await sleep(LEAVE_MS);
    expect(helper.openCount).to.equal(1);
    expect(await refusalOf(port)).to.equal(undefined);
    expect(Object.fromEntries(helper.counts.refused)).to.deep.equal({
      'unknown-target': 1,
      full: 1,
    });
  });

  it('finishes open tunnels after a stop and opens no others', async () => {
    const {port} = await startTarget(socket => socket.pipe(socket));
    const client = (await open(port))._unsafeUnwrap();
    helper.stop();
    expect(await refusalOf(port)).to.equal('stopping');
    client.end('late');
    expect(String(Buffer.concat(await client.toArray()))).to.equal('late');
  });

  it('serves nothing but tunnels', async () => {
    for (const head of [
      'GET / HTTP/1.1\r\nhost: t\r\n\r\n',
      'CONNECT somewhere:80 HTTP/1.1\r\nhost: t\r\n\r\n',
      `CONNECT ${ADDRESS}:80 HTTP/1.1\r\nx: ${'x'.repeat(5_000)}\r\n\r\n`,
      'CONNECT',
    ]) {
      const client = connect(helperPort, ADDRESS);
      client.on('error', () => {});
      client.write(head);
      const answer = Buffer.concat(await client.toArray().catch(() => []));
      expect(String(answer)).to.not.contain('200 OK');
    }
    expect(helper.counts.opened).to.equal(0);
  });
});
