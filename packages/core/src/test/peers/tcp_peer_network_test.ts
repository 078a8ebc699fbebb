import {once} from 'node:events';
import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {ok} from 'neverthrow';
import {z} from 'zod';
import {
  FrameDecoder,
  PEER_ERROR,
  PeerAddress,
  PeerMethod,
  SilentLogger,
  SystemClock,
  TcpPeerNetwork,
  encodeFrame,
} from '../../index.js';

const POLL_MS = 10;
const SLOW_ANSWER_MS = 400;
const PAUSE_MS = 2_500;
const EVENT_BYTES = 16 * 1024;

/**
 * Limit on the sent bytes: more than the buffers of the sockets hold, less than
 * the flow control windows of all calls together.
 */
const MAX_SENT_BYTES = 15 * 1024 ** 2;

const CALLS = 5;

/** Identity of a peer that the test plays itself. */
const RAW_PEER = {host: 'raw', zone: 'a', incarnation: 'raw.1'};

const ECHO: PeerMethod<string, string> = {
  name: 'test.echo',
  body: z.string(),
  event: z.string(),
};
const SLOW: PeerMethod<null, string> = {
  name: 'test.slow',
  body: z.null(),
  event: z.string(),
};
const FLOOD: PeerMethod<null, string> = {
  name: 'test.flood',
  body: z.null(),
  event: z.string(),
};

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MS);
}

async function listenOn(server: Server): Promise<PeerAddress> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {address: '127.0.0.1', port};
}

/** A TCP proxy that can silently drop the data of its open connections. */
class TcpProxy {
  /** Number of connections accepted so far. */
  accepted = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(near => {
    this.accepted += 1;
    const far = connect(this.to.port, this.to.address);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('data', bytes => other.write(bytes));
      socket.on('close', () => other.destroy());
    }
  });

  constructor(private readonly to: PeerAddress) {}

  start(): Promise<PeerAddress> {
    return listenOn(this.server);
  }

  silence(): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data').removeAllListeners('close');
      socket.resume();
    }
    this.sockets.clear();
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

describe('TcpPeerNetwork', () => {
  let lifetime: AbortController;
  let addresses: Map<string, PeerAddress>;

  beforeEach(() => {
    lifetime = new AbortController();
    addresses = new Map();
  });

  afterEach(() => lifetime.abort());

  async function start(name: string): Promise<TcpPeerNetwork> {
    const network = new TcpPeerNetwork({
      self: {host: name, zone: 'a', incarnation: `${name}.1`},
      clock: new SystemClock(),
      logger: new SilentLogger(),
      secret: undefined,
      resolve: host => addresses.get(host),
    });
    network.serveUnary(ECHO, text => `${name} ${text}`);
    const port = await network.listen('127.0.0.1', 0, lifetime.signal);
    addresses.set(name, {address: '127.0.0.1', port: port._unsafeUnwrap()});
    return network;
  }

  function echo(network: TcpPeerNetwork, host: string) {
    const {signal} = lifetime;
    return network.call(host, ECHO, 'hi', {timeoutMs: 30_000, signal});
  }

  it('gives up a peer that accepts a connection but sends no hello frame', async () => {
    const sockets = new Set<Socket>();
    const muteServer = createServer(socket => sockets.add(socket));
    addresses.set('mute', await listenOn(muteServer));
    const network = await start('a');
    const answer = await echo(network, 'mute');
    expect(answer._unsafeUnwrapErr().type).to.equal(PEER_ERROR.notSent);
    expect(network.isSuspect('mute')).to.equal(true);
    for (const socket of sockets) socket.destroy();
    muteServer.close();
  });

  it('replaces a link that delivers no data', async () => {
    const a = await start('a');
    const b = await start('b');
    const proxy = new TcpProxy(addresses.get('b')!);
    addresses.set('b', await proxy.start());
    void a.maintainLink('b', lifetime.signal);
    await until(() => a.connected().length === 1);
    const before = proxy.accepted;
    proxy.silence();
    // The new link can be up before either end detects the failure of the old
    // one.
    await until(() => proxy.accepted > before);
    await until(() => a.connected().length === 1);
    expect((await echo(a, 'b'))._unsafeUnwrap()).to.equal('b hi');
    expect((await echo(b, 'a'))._unsafeUnwrap()).to.equal('a hi');
    proxy.stop();
  });

  it('does not take its own pause for the silence of the peer', async () => {
    const a = await start('a');
    const b = await start('b');
    b.serve(SLOW, async function* () {
      await sleep(SLOW_ANSWER_MS);
      yield 'done';
    });
    expect((await echo(a, 'b')).isOk()).to.equal(true);
    const {signal} = lifetime;
    const limits = {timeoutMs: 30_000, signal};
    const answer = a.call('b', SLOW, null, limits);
    await sleep(SLOW_ANSWER_MS / 2);
    const resumeMs = performance.now() + PAUSE_MS;
    while (performance.now() < resumeMs);
    expect(await answer).to.deep.equal(ok('done'));
  });

  it('keeps one link when both ends dial simultaneously', async () => {
    const names = ['a', 'b', 'c', 'd'];
    const networks = await Promise.all(names.map(start));
    const calls = networks.flatMap(network =>
      names
        .filter(name => name !== network.self.host)
        .map(name => echo(network, name)),
    );
    for (const answer of await Promise.all(calls)) {
      expect(answer.isOk()).to.equal(true);
    }
    const others = names.length - 1;
    await until(() => networks.every(({linkCount}) => linkCount === others));
    for (const network of networks) {
      expect(network.connected().length).to.equal(others);
    }
  });

  it('limits the unsent data for a peer that does not read', async () => {
    const network = await start('a');
    let sentBytes = 0;
    let ended = 0;
    network.serve(FLOOD, async function* (unusedBody, {signal}) {
      signal.addEventListener('abort', () => (ended += 1));
      while (!signal.aborted) {
        sentBytes += EVENT_BYTES;
        yield 'x'.repeat(EVENT_BYTES);
      }
    });
    const {port, address} = addresses.get('a')!;
    const socket = connect(port, address);
    socket.on('error', () => {});
    socket.pause();
    const hello = {host: 'slow', zone: 'a', incarnation: 'slow.1'};
    socket.write(encodeFrame({t: 'hello', ...hello}));
    const calls = 50;
    for (let id = 0; id < calls; id++) {
      socket.write(
        encodeFrame({t: 'open', id, method: FLOOD.name, body: null}),
      );
    }
    await until(() => ended === calls);
    expect(sentBytes).to.be.below(MAX_SENT_BYTES);
    socket.destroy();
  });

  /** Starts a host and a raw peer of it that answers calls with bytes. */
  async function startWithRawPeer(
    respond: (socket: Socket, id: number) => void,
  ): Promise<{network: TcpPeerNetwork; server: Server}> {
    const server = createServer(socket => {
      const decoder = new FrameDecoder();
      socket.on('error', () => {});
      socket.write(encodeFrame({t: 'hello', ...RAW_PEER}));
      socket.on('data', chunk => {
        for (const frame of decoder.push(chunk)._unsafeUnwrap())
          if (frame.t === 'open') respond(socket, frame.id);
      });
    });
    addresses.set('raw', await listenOn(server));
    return {network: await start('a'), server};
  }

  it('does not use an answer that is cut at any byte', async () => {
    let cut = 0;
    let isReset = false;
    const answerTo = (id: number) =>
      encodeFrame({t: 'end', id, body: 'an answer'});
    const {network, server} = await startWithRawPeer((socket, id) => {
      const end = () => {
        if (isReset) socket.resetAndDestroy();
        else socket.end();
      };
      socket.write(answerTo(id).subarray(0, cut), end);
    });
    for (cut = 0; cut < answerTo(0).length; cut++) {
      for (isReset of [false, true]) {
        const answer = await echo(network, 'raw');
        const error = answer._unsafeUnwrapErr().type;
        expect(error, `byte ${cut}`).to.equal(PEER_ERROR.lost);
      }
    }
    server.close();
  });

  it('uses the first of two answers to a call, and none to another call', async () => {
    const {network, server} = await startWithRawPeer((socket, id) => {
      const frames = [
        {t: 'end', id: id + 1, body: 'answer to a later call'},
        {t: 'end', id, body: `answer ${id}`},
        {t: 'end', id, body: 'second answer'},
      ] as const;
      socket.write(Buffer.concat(frames.map(frame => encodeFrame(frame))));
    });
    for (let id = 0; id < CALLS; id++)
      expect((await echo(network, 'raw'))._unsafeUnwrap()).to.match(
        /^answer \d/,
      );
    server.close();
  });

  // The call ran, although its answer could not be sent any more.
  it('handles no call behind a frame that breaks its link', async () => {
    const network = await start('a');
    let runs = 0;
    network.serveUnary(ECHO, text => {
      runs += 1;
      return text;
    });
    const {port, address} = addresses.get('a')!;
    const socket = connect(port, address);
    const closed = once(socket, 'close');
    socket.on('error', () => {});
    const frames = [
      {t: 'beat'},
      {t: 'hello', ...RAW_PEER},
      {t: 'open', id: 0, method: ECHO.name, body: 'hi'},
    ] as const;
    socket.end(Buffer.concat(frames.map(frame => encodeFrame(frame))));
    socket.resume();
    await closed;
    expect(runs).to.equal(0);
  });
});
