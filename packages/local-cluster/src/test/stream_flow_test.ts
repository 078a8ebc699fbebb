import {Socket, connect} from 'node:net';
import {expect} from 'chai';
import {
  CALLER_END,
  LocalCluster,
  SAMPLE_KEY,
  sampleDeclarations,
} from '../index.js';

const MANY_TOKENS = 400_000;
const HOSTS = ['a-1', 'b-1'];

/** Sends a streaming chat over a raw socket and does not read the response. */
function openUnreadChat(url: string, prompt: string): Socket {
  const {hostname, port} = new URL(url);
  const body = JSON.stringify({
    model: 'long',
    stream: true,
    max_tokens: MANY_TOKENS,
    messages: [{role: 'user', content: prompt}],
  });
  const socket = connect(Number(port), hostname);
  socket.on('error', () => {});
  socket.write(
    'POST /v1/chat/completions HTTP/1.1\r\n' +
      `host: ${hostname}\r\nauthorization: Bearer ${SAMPLE_KEY}\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
  socket.pause();
  return socket;
}

describe('stream flow control', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a', tokenGapMs: 0}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
      {
        kind: 'rate',
        name: 'inspectors',
        fields: {
          team: 'inspectors',
          tokens_per_second: '1000000',
          burst: '1000000',
        },
      },
      {
        kind: 'route',
        name: 'long',
        fields: {
          model: 'drafter',
          teams: 'inspectors',
          max_tokens: String(MANY_TOKENS),
        },
      },
    ]);
  });

  afterEach(() => cluster.kill());

  function runOf(text: string) {
    const {runs} = cluster.engines.get('pool-1')!;
    return runs.find(run => run.text === text);
  }

  /** Waits until the engine stops generating, and returns its token count. */
  async function waitForStall(text: string): Promise<number> {
    await cluster.until(() => (runOf(text)?.tokens ?? 0) > 0);
    let before = -1;
    await cluster.until(async () => {
      const now = runOf(text)!.tokens;
      const stalled = now === before;
      before = now;
      await new Promise(resolve => setTimeout(resolve, 300));
      return stalled;
    });
    return before;
  }

  for (const host of HOSTS) {
    it(`pauses the engine for a slow reader at ${host}`, async () => {
      const socket = openUnreadChat(cluster.callerUrl(host), host);
      const tokens = await waitForStall(host);
      expect(tokens).to.be.lessThan(MANY_TOKENS);
      socket.resume();
      await cluster.until(() => runOf(host)!.tokens > tokens);
      socket.destroy();
    });

    it(`cancels at the engine when the caller disconnects from ${host}`, async () => {
      const gone = new AbortController();
      const answer = await cluster.caller(host).chat(host, {
        route: 'long',
        maxTokens: MANY_TOKENS,
        signal: gone.signal,
        onToken: count => {
          if (count === 5) gone.abort();
        },
      });
      expect(answer.end, JSON.stringify(answer)).to.equal(CALLER_END.cut);
      await cluster.until(() => runOf(host)!.state === 'cancelled');
      expect(runOf(host)!.tokens).to.be.lessThan(MANY_TOKENS);
    });
  }

  it('aborts an unread stream after its deadline', async () => {
    const caller = cluster.callerUrl('a-1');
    await cluster.publish([
      {
        kind: 'route',
        name: 'long',
        fields: {
          model: 'drafter',
          teams: 'inspectors',
          max_tokens: String(MANY_TOKENS),
          deadline: '1s',
        },
      },
    ]);
    const socket = openUnreadChat(caller, 'unread');
    await cluster.until(() => runOf('unread')?.state === 'cancelled');
    socket.destroy();
  });
});
