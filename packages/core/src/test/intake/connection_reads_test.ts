import {Server, createServer} from 'node:http';
import {AddressInfo, Socket, connect} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {CallerMessage, HOLD} from '../../index.js';

/** Most that a handle reads before a hold stops it. */
const MAX_READ_BYTES = 65_536;
const CHUNK = Buffer.from(`1000\r\n${'a'.repeat(4_096)}\r\n`);
const LAST_CHUNK = '0\r\n\r\n';
const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';

/** More than a connection takes whose other side does not read. */
const CHUNKS = 4_000;

/** Turns of the event loop after which a handle that is read has brought more. */
const QUIET_TURNS = 20;

const REASONS = Object.values(HOLD);

/** What a test does with a request. */
const step = fc.record({
  action: fc.constantFrom('hold', 'release', 'turn', 'tick'),
  reason: fc.constantFrom(...REASONS),
  /** Whether the step is taken as a chunk arrives. */
  atChunk: fc.boolean(),
});

describe('CallerMessage', () => {
  let server: Server;
  let caller: Socket;
  let req: CallerMessage;

  beforeEach(async () => {
    server = createServer({IncomingMessage: CallerMessage});
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    caller.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** Sends a body that a connection can't take at once. */
  async function send(): Promise<void> {
    const {port} = server.address() as AddressInfo;
    const arrived = new Promise<CallerMessage>(resolve =>
      server.once('request', message => resolve(message as CallerMessage)),
    );
    caller = connect(port, '127.0.0.1');
    caller.on('error', () => {});
    caller.write(HEAD);
    caller.write(Buffer.concat(Array<Buffer>(CHUNKS).fill(CHUNK)));
    caller.write(LAST_CHUNK);
    req = await arrived;
  }

  async function waitTurns(count: number): Promise<void> {
    for (let i = 0; i < count; i++) await nextTurn();
  }

  // A connection that was released and held again was read on.
  it('is not read while it is held, in any order of holds and releases', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 30}), async steps => {
        await send();
        const held = new Set<string>();
        let receivedBytes = 0;
        let atChunk: Array<() => void> = [];
        const act = (action: string, reason: (typeof REASONS)[number]) => {
          if (action === 'hold') {
            held.add(reason);
            req.hold(reason);
          } else {
            held.delete(reason);
            req.release(reason);
          }
        };
        req.on('data', (chunk: Buffer) => {
          receivedBytes += chunk.length;
          atChunk.shift()?.();
        });
        for (const {action, reason, atChunk: isLater} of steps) {
          if (action === 'turn') await nextTurn();
          else if (action === 'tick') await Promise.resolve();
          else if (isLater) atChunk.push(() => act(action, reason));
          else act(action, reason);
        }
        atChunk = [];
        act('hold', HOLD.memory);
        const bytes = req.socket.bytesRead;
        await waitTurns(QUIET_TURNS);
        const readBytes = req.socket.bytesRead - bytes;
        expect(readBytes, 'read after').to.be.at.most(MAX_READ_BYTES);
        for (const reason of held) req.release(reason as typeof HOLD.memory);
        await new Promise(resolve => req.once('end', resolve));
        expect(receivedBytes).to.equal(CHUNKS * 4_096);
        caller.destroy();
      }),
      {numRuns: 60},
    );
  });
});
