import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {HttpServiceClient} from '../../lib/targets/http_service_client.js';

const CALL = {method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0)};
const ROUNDS = 10;

/** Longer than what the client buffers before it pauses its connection. */
const LONG_BODY = Buffer.alloc(400_000, 'a');

/** Time that a caller takes for each part of the answer, in milliseconds. */
const TAKE_MS = 5;

/** Time in which a client watches the process of an answer, in milliseconds. */
const WATCH_MS = 100;

/** Ways to frame a body. */
const FRAMINGS = {
  length: (body: Buffer) => ({
    headers: `content-length: ${body.length}\r\n`,
    bytes: body,
  }),
  chunks: (body: Buffer) => ({
    headers: 'transfer-encoding: chunked\r\n',
    bytes: Buffer.concat([
      Buffer.from(`${body.length.toString(16)}\r\n`),
      body,
      Buffer.from('\r\n0\r\n\r\n'),
    ]),
  }),
  'no length': (body: Buffer) => ({headers: '', bytes: body}),
};

type FramingName = keyof typeof FRAMINGS;

function answerBytes(framing: FramingName, body: Buffer): Buffer {
  const {headers, bytes} = FRAMINGS[framing](body);
  const head = `HTTP/1.1 200 OK\r\n${headers}connection: close\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), bytes]);
}

describe('HttpServiceClient', () => {
  let server: Server;
  let respond: (socket: Socket) => unknown;
  let sockets: Set<Socket>;
  const {signal} = new AbortController();

  beforeEach(async () => {
    sockets = new Set();
    server = createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.once('data', () => void respond(socket));
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  });

  afterEach(() => {
    server.close();
  });

  /** Returns the body of an answer, or undefined if it is not complete. */
  async function call(takeMs?: number): Promise<string | undefined> {
    const {port} = server.address() as AddressInfo;
    const client = new HttpServiceClient(`http://127.0.0.1:${port}`);
    const answer = await client.call(CALL, signal);
    if (answer.isErr()) return undefined;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of answer.value.body) {
        chunks.push(chunk as Buffer);
        if (takeMs !== undefined) await sleep(takeMs);
      }
    } catch {
      return undefined;
    }
    return String(Buffer.concat(chunks));
  }

  for (const framing of Object.keys(FRAMINGS) as FramingName[]) {
    const whole = answerBytes(framing, Buffer.from('the body'));

    it(`does not take an answer with ${framing} for complete that is reset at any byte`, async () => {
      const lastCut = framing === 'no length' ? whole.length : whole.length - 1;
      for (let cut = 1; cut <= lastCut; cut++) {
        respond = socket =>
          socket.write(whole.subarray(0, cut), () => socket.resetAndDestroy());
        expect(await call(), `reset at byte ${cut}`).to.equal(undefined);
      }
    });

    it(`takes an answer with ${framing} for complete that ends in order`, async () => {
      for (let i = 0; i < ROUNDS; i++) {
        respond = socket => socket.end(whole);
        expect(await call()).to.equal('the body');
      }
    });

    // The client threw at the end of a connection while it was paused, which
    // ended the process.
    it(`reads an answer with ${framing} whose caller is slow`, async () => {
      const bytes = answerBytes(framing, LONG_BODY);
      for (let i = 0; i < ROUNDS; i++) {
        respond = socket => socket.end(bytes);
        const body = await call(TAKE_MS);
        expect(body?.length).to.equal(LONG_BODY.length);
        respond = socket => socket.write(bytes, () => socket.resetAndDestroy());
        await call(TAKE_MS);
      }
    });
  }

  // A client may read an unknown status as it likes, as a success too.
  it('takes no answer for one whose status HTTP does not have', async () => {
    for (const status of ['000', '099', '101', '199', '600', '999']) {
      for (const framing of Object.keys(FRAMINGS) as FramingName[]) {
        const whole = String(answerBytes(framing, Buffer.from('the body')));
        respond = socket => socket.end(whole.replace('200', status));
        expect(await call(), `${status}, ${framing}`).to.equal(undefined);
      }
    }
  });

  // The operating system closes the connections of a killed process in order.
  it('does not take an answer without a length for complete whose service has ended', async () => {
    const part = String(answerBytes('no length', Buffer.from('a part')));
    const coded = part.replace('connection', 'transfer-encoding: x\r\n$&');
    for (const bytes of [part, coded]) {
      respond = socket => {
        server.close();
        socket.end(bytes);
      };
      expect(await call()).to.equal(undefined);
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    }
  });

  it('does not take an answer without a length for complete whose service another process replaces', async () => {
    respond = async socket => {
      socket.write(answerBytes('no length', Buffer.from('a part')));
      await sleep(WATCH_MS);
      for (const each of sockets) each.end();
    };
    expect(await call()).to.equal(undefined);
  });

  it('takes an answer without a length for complete whose service listens no more and replies', async () => {
    respond = async socket => {
      if (!server.listening) {
        socket.end('HTTP/1.1 404 Not Found\r\n\r\n');
        return;
      }
      socket.write(answerBytes('no length', Buffer.from('the body')));
      await sleep(WATCH_MS);
      server.close();
      socket.end();
    };
    expect(await call()).to.equal('the body');
  });

  it('closes the connection of an answer without a length that is not read', async () => {
    const {port} = server.address() as AddressInfo;
    const client = new HttpServiceClient(`http://127.0.0.1:${port}`);
    const closed = new Promise(resolve => {
      respond = socket => {
        socket.on('close', resolve);
        socket.write(answerBytes('no length', Buffer.from('a part')));
      };
    });
    const answer = await client.call(CALL, signal);
    answer._unsafeUnwrap().body.destroy();
    await closed;
  });

  it('does not take an answer for complete that is cut in order before its length', async () => {
    for (const framing of ['length', 'chunks'] as const) {
      const whole = answerBytes(framing, Buffer.from('the body'));
      for (let cut = 1; cut < whole.length; cut++) {
        respond = socket => socket.end(whole.subarray(0, cut));
        expect(await call(), `${framing}, byte ${cut}`).to.equal(undefined);
      }
    }
  });

  it('takes no bytes behind an answer for a part of it', async () => {
    for (const framing of ['length', 'chunks'] as const) {
      const whole = answerBytes(framing, Buffer.from('the body'));
      respond = socket => socket.end(Buffer.concat([whole, whole]));
      expect(await call()).to.equal('the body');
    }
  });
});
