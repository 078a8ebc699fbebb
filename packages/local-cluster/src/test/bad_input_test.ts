import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {Socket, connect} from 'node:net';
import {tmpdir} from 'node:os';
import {Readable} from 'node:stream';
import {dirname, join} from 'node:path';
import {digestOf, encodeFrame, memberSchema} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {request} from 'undici';
import {LocalCluster, SAMPLE_KEY, sampleDeclarations} from '../index.js';

const OTHER_KEY = 'fc-other-key';
const CHAT = {
  model: 'draft',
  max_tokens: 3,
  messages: [{role: 'user', content: 'hello'}],
};

interface ErrorAnswer {
  error: {code: string; outcome: string};
}

describe('bad input', () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'a-2', zone: 'a'},
      ],
      engines: [{name: 'pool-1', zone: 'a'}],
      plainPeers: true,
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
      {kind: 'team', name: 'other', fields: {}},
      {
        kind: 'key',
        name: 'other-1',
        fields: {team: 'other', digest: digestOf(OTHER_KEY)},
      },
    ]);
  });

  afterEach('the host still serves requests', async () => {
    const {status} = await post(CHAT);
    expect(status).to.equal(200);
  });

  after(() => cluster.kill());

  async function post(
    body: object | string,
    headers: Record<string, string> = {authorization: `Bearer ${SAMPLE_KEY}`},
  ) {
    const url = `${cluster.callerUrl('a-1')}/v1/chat/completions`;
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const res = await request(url, {method: 'POST', headers, body: text});
    const answer = (await res.body.json()) as ErrorAnswer;
    return {status: res.statusCode, ...answer};
  }

  async function expectRefusal(
    answer: ReturnType<typeof post>,
    status: number,
    code: string,
  ): Promise<void> {
    const got = await answer;
    expect(got.status).to.equal(status);
    expect(got.error).to.include({code, outcome: 'not_run'});
  }

  const bodies: Array<[string, string | object, number, string]> = [
    ['truncated JSON', '{"model": "draft", "mess', 400, 'bad-request'],
    ['an empty body', '', 400, 'bad-request'],
    ['JSON that is not an object', '17', 400, 'bad-request'],
    ['no messages', {model: 'draft', messages: []}, 400, 'bad-request'],
    ['negative tokens', {...CHAT, max_tokens: -1}, 400, 'bad-request'],
    ['an unknown model', {...CHAT, model: 'none'}, 404, 'unknown-route'],
    [
      'a model named like an object property',
      {...CHAT, model: '__proto__'},
      404,
      'unknown-route',
    ],
    ['a body that is too large', 'x'.repeat(2 ** 20 + 1), 413, 'too-large'],
  ];
  for (const [what, body, status, code] of bodies) {
    it(`refuses ${what}`, () => expectRefusal(post(body), status, code));
  }

  const authorizations: Array<
    [string, Record<string, string>, number, string]
  > = [
    ['no key', {}, 401, 'unauthenticated'],
    ['a wrong key', bearer('fc-wrong'), 401, 'unauthenticated'],
    [
      'a key of another scheme',
      {authorization: 'Basic eDp5'},
      401,
      'unauthenticated',
    ],
    ['a key of another team', bearer(OTHER_KEY), 403, 'forbidden'],
  ];
  for (const [what, headers, status, code] of authorizations) {
    it(`refuses ${what}`, () =>
      expectRefusal(post(CHAT, headers), status, code));
  }

  it('refuses a deadline that is not a number', () => {
    const headers = {...bearer(SAMPLE_KEY), 'x-deadline-ms': 'soon'};
    return expectRefusal(post(CHAT, headers), 400, 'bad-request');
  });

  it('refuses a chunked body that exceeds the limit', async () => {
    const url = `${cluster.callerUrl('a-1')}/v1/chat/completions`;
    const chunk = Buffer.alloc(64 * 1024, 'x');
    const body = Readable.from(chunks());
    function* chunks() {
      for (let i = 0; i < 17; i++) yield chunk;
    }
    const headers = bearer(SAMPLE_KEY);
    const res = await request(url, {method: 'POST', headers, body});
    expect(res.statusCode).to.equal(413);
    const {error} = (await res.body.json()) as ErrorAnswer;
    expect(error.code).to.equal('too-large');
  });

  it('refuses request headers that exceed the limit', () => {
    const headers = {...bearer(SAMPLE_KEY), 'x-large': 'y'.repeat(20_000)};
    return expectRefusal(post(CHAT, headers), 431, 'too-large');
  });

  it('responds to bytes that are not HTTP', async () => {
    const answer = await exchange(
      Number(new URL(cluster.callerUrl('a-1')).port),
      Buffer.from('\u0016\u0003 hello\r\n\r\n'),
    );
    expect(answer.toString()).to.match(/^HTTP\/1.1 400 .*"bad-request"/s);
  });

  it('refuses a malformed publication', async () => {
    const res = await request(
      `${cluster.operatorUrl('a-1')}/api/config/publications`,
      {
        method: 'POST',
        headers: bearer('local-operator-token'),
        body: '{"type": "publication", "base": -1}',
      },
    );
    expect(res.statusCode).to.equal(400);
    await res.body.dump();
  });

  it('closes a peer link on a malformed frame', async () => {
    const port = peerPort('a-1');
    const hello = encodeFrame({
      t: 'hello',
      host: 'intruder',
      zone: 'a',
      incarnation: 'intruder.1',
    });
    const tooLong = Buffer.from([0xff, 0xff, 0xff, 0xff]);
    const noCbor = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);
    const unknown = Buffer.from([0, 0, 0, 1, 0x07]);
    for (const broken of [tooLong, noCbor, unknown]) {
      await exchange(port, broken);
      await exchange(port, Buffer.concat([hello, broken]));
    }
    const {peers} = (await cluster.operator('a-1').status())._unsafeUnwrap();
    expect(peers).to.include('a-2').and.not.include('intruder');
  });

  function peerPort(host: string): number {
    const joins = cluster.log
      .records('zone.a')
      .map(({body}) => memberSchema.safeParse((body as {body: unknown}).body))
      .flatMap(parsed => (parsed.success ? [parsed.data] : []));
    return joins.findLast(member => member.host === host)!.peer.port;
  }
});

describe('invalid settings', () => {
  it('stop the daemon with exit code 2 and a list of all faults', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-'));
    const path = join(folder, 'settings.ini');
    await writeFile(path, '[host]\nname = A B\n[log]\nlevel = loud\n');
    const {code, stderr} = await runDaemon(path);
    await rm(folder, {recursive: true});
    expect(code).to.equal(2);
    for (const key of ['host.name', 'host.zone', 'listen.peer', 'log.level']) {
      expect(stderr).to.contain(`${path}: ${key}: `);
    }
  });
});

function bearer(key: string): Record<string, string> {
  return {authorization: `Bearer ${key}`};
}

/** Sends bytes and reads until the peer closes the connection. */
async function exchange(port: number, bytes: Buffer): Promise<Buffer> {
  const socket: Socket = connect(port, '127.0.0.1');
  socket.write(bytes);
  const answer: Buffer[] = [];
  try {
    for await (const chunk of socket) answer.push(chunk as Buffer);
  } catch {
    // A reset also closes the connection.
  }
  return Buffer.concat(answer);
}

function runDaemon(settings: string): Promise<{code: unknown; stderr: string}> {
  const require = createRequire(import.meta.url);
  const index = require.resolve('@fuchsiacleat/daemon');
  const main = join(dirname(index), 'main.js');
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [main, '--settings', settings],
      (error, unused, stderr) => resolve({code: error?.code, stderr}),
    );
  });
}
