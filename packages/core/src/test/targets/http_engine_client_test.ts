import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {GenerationRequest} from '../../lib/requests/generation.js';
import {ENGINE_ERROR, FencedOrder} from '../../lib/targets/engine_client.js';
import {HttpEngineClient} from '../../lib/targets/http_engine_client.js';

const REQUEST: GenerationRequest = {
  id: 'r1',
  team: 'team',
  route: 'route',
  model: 'm1',
  input: {prompt: 'hello'},
  maxTokens: 2,
  priority: 0,
  repeatable: true,
};

const ROUNDS = 3;

/** Makes the answer longer than what the client buffers before it pauses. */
const LONG_TEXT = 'a'.repeat(2_000);
const LONG_TOKENS = 200;

/** Time that a caller takes for each event of a long answer, in milliseconds. */
const TAKE_MS = 1;

function eventsOf(texts: readonly string[]): string {
  const tokens = texts.map((text, offset) => ({type: 'token', offset, text}));
  const end = {
    type: 'end',
    finishReason: 'stop',
    promptTokens: 1,
    completionTokens: texts.length,
  };
  return [...tokens, end]
    .map(event => JSON.stringify({request_id: REQUEST.id, event}))
    .map(data => `data: ${data}\n\n`)
    .join('');
}

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';

/** Ways to frame a body. */
const FRAMINGS: Record<string, (body: string) => string> = {
  length: body =>
    `${HEAD}content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
  chunks: body =>
    `${HEAD}transfer-encoding: chunked\r\n\r\n` +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  'no length': body => `${HEAD}\r\n${body}`,
};

/** Time after which a connection is used again, in milliseconds. */
const IDLE_MS = 20;

const FENCED = '412 Precondition Failed';

const INVENTORY = {
  target: 't1',
  memoryBytes: 1,
  usedBytes: 0,
  slots: 1,
  running: 0,
  highestFencing: 2,
  leaving: false,
  onDisk: [],
  inMemory: [],
  residents: [],
};

function jsonAnswer(status: string, body: object): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status}\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

function loadOrder(fencing: number): FencedOrder {
  const order = {kind: 'load', model: 'm1', version: 'v1'} as const;
  return {id: 'o1', fencing, order};
}

describe('HttpEngineClient', () => {
  let server: Server;
  let client: HttpEngineClient;
  let respond: (socket: Socket) => void;
  const {signal} = new AbortController();

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () => respond(socket));
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    client = new HttpEngineClient(`http://127.0.0.1:${port}`);
  });

  afterEach(() => {
    server.close();
  });

  /** Returns the text of a complete answer, or undefined. */
  async function generate(takeMs?: number): Promise<string | undefined> {
    const events = client.generate(REQUEST, {
      resume: false,
      resumeFrom: 0,
      traceparent: '',
      signal,
    });
    let text = '';
    for await (const event of events) {
      if (event.isErr()) return undefined;
      if (event.value.type === 'end') return text;
      text += event.value.text;
      if (takeMs !== undefined) await sleep(takeMs);
    }
    return undefined;
  }

  for (const [framing, frame] of Object.entries(FRAMINGS)) {
    it(`does not take a stream with ${framing} for complete that ends before its last event`, async () => {
      const events = eventsOf(['one', 'two']);
      const answer = frame(events);
      const lastCut = answer.indexOf(events) + events.length - 1;
      for (let cut = 1; cut < lastCut; cut++) {
        const bytes = answer.slice(0, cut);
        respond = socket => socket.end(bytes);
        expect(await generate(), `end at byte ${cut}`).to.equal(undefined);
        respond = socket => socket.write(bytes, () => socket.resetAndDestroy());
        expect(await generate(), `reset at byte ${cut}`).to.equal(undefined);
      }
    });

    // The client threw at the end of a connection while it was paused, which
    // ended the process.
    it(`reads a stream with ${framing} whose caller is slow`, async () => {
      const texts = Array<string>(LONG_TOKENS).fill(LONG_TEXT);
      const answer = frame(eventsOf(texts));
      for (let i = 0; i < ROUNDS; i++) {
        respond = socket => socket.end(answer);
        expect(await generate(TAKE_MS)).to.have.lengthOf(
          LONG_TOKENS * LONG_TEXT.length,
        );
        respond = socket =>
          socket.write(answer, () => socket.resetAndDestroy());
        await generate(TAKE_MS);
      }
    });
  }

  // Answers to orders name no order: a second copy of an earlier answer, where
  // the next one is due, was taken for it.
  it('does not take a second copy of an answer for the answer to an order', async () => {
    const answers = [jsonAnswer('200 OK', INVENTORY), jsonAnswer(FENCED, {})];
    const last = new Map<Socket, string>();
    respond = socket => {
      const next = answers.shift() ?? '';
      socket.write((last.get(socket) ?? '') + next);
      last.set(socket, next);
    };
    expect((await client.inventory(signal)).isOk()).to.equal(true);
    await sleep(IDLE_MS);
    const ordered = await client.order(loadOrder(1), signal);
    expect(ordered.isErr() && ordered.error.type).to.equal(ENGINE_ERROR.fenced);
  });
});
