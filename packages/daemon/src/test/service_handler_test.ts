import {AddressInfo, Socket, connect} from 'node:net';
import {Server, createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpBindings, getRequestListener} from '@hono/node-server';
import {
  FAILURE,
  MemoryAccount,
  Outcome,
  ServiceEvent,
  ServiceRunner,
  SystemClock,
  fail,
} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {Hono} from 'hono';
import {IdempotencyGuard} from '../lib/idempotency_guard.js';
import {AdmittedRequest} from '../lib/request_gate.js';
import {ServiceHandler} from '../lib/service_handler.js';
import {Withdrawal} from '../lib/withdrawal.js';

const PART = Buffer.from('the first part');
const PART_DELAY_MS = 20;
const TIMEOUT_MS = 5_000;
const ACCOUNT_BYTES = 1_000_000;

/** A service that answers in some parts, and ends with the given outcome. */
async function* playRun(
  parts: number,
  outcome: Outcome,
): AsyncGenerator<ServiceEvent, Outcome> {
  yield {type: 'head', status: 200, headers: {}};
  for (let i = 0; i < parts; i++) {
    yield {type: 'chunk', data: PART};
    await sleep(PART_DELAY_MS);
  }
  return outcome;
}

describe('ServiceHandler', () => {
  let server: Server;
  let parts: number;
  let outcome: Outcome;

  beforeEach(async () => {
    outcome = fail(FAILURE.targetLost, 'the service was lost');
    const clock = new SystemClock();
    const runner = {
      run: () => playRun(parts, outcome),
    } as unknown as ServiceRunner;
    const idempotencyGuard = {
      run: (
        ...[, , , run]: Parameters<IdempotencyGuard['run']>
      ): Promise<Response> => run(),
    } as unknown as IdempotencyGuard;
    const account = new MemoryAccount(clock, ACCOUNT_BYTES);
    const options = {runner, idempotencyGuard, clock, account};
    const handler = new ServiceHandler(options);
    const app = new Hono();
    app.all('/', c => {
      const {outgoing} = c.env as HttpBindings;
      const admitted = {
        route: {repeatable: false},
        deadlineMs: clock.now() + TIMEOUT_MS,
        withdrawal: new Withdrawal(false),
        finish: () => {},
      } as unknown as AdmittedRequest;
      const {signal} = new AbortController();
      const body = new Uint8Array();
      const caller = {signal, outgoing};
      return handler.handle(admitted, c.req.raw, '/', body, caller);
    });
    const listener = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
    });
    server = createServer((req, res) => void listener(req, res));
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  });

  afterEach(() => {
    server.close();
  });

  /** Returns what a caller receives, and the error that ends its connection. */
  async function call(version: string): Promise<{text: string; error: string}> {
    const {port} = server.address() as AddressInfo;
    const socket: Socket = connect(port, '127.0.0.1');
    let text = '';
    let error = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', ({code = ''}: NodeJS.ErrnoException) => (error = code));
    socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
    await new Promise(resolve => socket.on('close', resolve));
    return {text, error};
  }

  // Its end in order was the only end that an answer without chunks has.
  it('resets an answer to HTTP/1.0 that breaks off', async () => {
    for (parts = 0; parts < 6; parts++) {
      const {text, error} = await call('1.0');
      const looksComplete = text !== '' && error !== 'ECONNRESET';
      expect(looksComplete, `${parts} parts: ${text}`).to.equal(false);
    }
  });

  // The end of a killed host's connection looked like the end of the answer.
  it('gives HTTP/1.0 callers the length of an answer', async () => {
    outcome = {type: 'served'};
    parts = 3;
    const {text} = await call('1.0');
    const size = parts * PART.length;
    expect(text).to.match(new RegExp(`content-length: ${size}\r\n`, 'i'));
    expect(text.endsWith(`\r\n\r\n${String(PART).repeat(parts)}`)).to.equal(
      true,
    );
  });

  it('ends no answer in chunks that breaks off', async () => {
    for (parts = 0; parts < 6; parts++) {
      const {text} = await call('1.1');
      expect(text, `${parts} parts`).not.to.match(/\r\n0\r\n\r\n$/);
      expect(text).not.to.match(/content-length/i);
    }
  });
});
