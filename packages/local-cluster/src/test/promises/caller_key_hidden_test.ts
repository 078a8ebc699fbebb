import {Socket} from 'node:net';
import {
  InMemorySpanExporter,
  ReadableSpan,
} from '@opentelemetry/sdk-trace-base';
import {expect} from 'chai';
import {ConsolaLogger, Tracing, createKey} from '@fuchsiacleat/core';
import {request} from 'undici';
import {CALLER_END, LocalCluster, sampleDeclarations} from '../../index.js';

const PROMPT = 'the-planted-prompt';

/** Records all socket writes of this process except those of callers. */
class SocketRecorder {
  private readonly writes: Buffer[] = [];
  private readonly originalWrite = Socket.prototype.write;

  /**
   * Starts to record.
   *
   * @param ports - ports to which callers write.
   */
  start(ports: ReadonlySet<number>): void {
    const {writes: written, originalWrite: original} = this;
    Socket.prototype.write = function (
      this: Socket,
      ...args: Parameters<Socket['write']>
    ) {
      if (!ports.has(this.remotePort ?? 0)) {
        written.push(Buffer.from(args[0] as string));
      }
      return original.apply(this, args);
    } as Socket['write'];
  }

  /**
   * Stops recording.
   *
   * @returns all recorded writes.
   */
  stop(): string {
    Socket.prototype.write = this.originalWrite;
    return Buffer.concat(this.writes).toString('latin1');
  }
}

function spanText(span: ReadableSpan): string {
  return JSON.stringify([span.name, span.attributes, span.status, span.events]);
}

describe('promise: caller-key-hidden', () => {
  const planted = createKey();
  const exporter = new InMemorySpanExporter();
  const logged: string[] = [];
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'b'}],
      services: [{name: 'registry-1', zone: 'b'}],
      plainPeers: true,
      daemonDeps: {
        tracing: new Tracing([exporter]),
        logger: new ConsolaLogger('debug', {}, line => logged.push(line)),
      },
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
      {
        kind: 'key',
        name: 'planted',
        fields: {team: 'inspectors', digest: planted.digest},
      },
    ]);
  });

  after(() => cluster.kill());

  it('sends no key to targets, peers or platform services', async () => {
    const ports = ['a-1', 'b-1'].map(name => cluster.daemon(name).callerPort);
    const tap = new SocketRecorder();
    tap.start(new Set(ports));
    const {key} = planted;
    const headers = {'idempotency-key': 'once'};
    for (const host of ['a-1', 'b-1']) {
      const caller = cluster.caller(host);
      const chat = await caller.chat(PROMPT, {key});
      const call = await caller.service('a filing', {key, headers});
      expect(chat.end).to.equal(CALLER_END.served);
      expect(call.end).to.equal(CALLER_END.served);
      await caller.chat(PROMPT, {key, route: 'unknown'});
      const withCookie = {cookie: `key=${key}`, 'proxy-authorization': key};
      await caller.service('another', {key, headers: withCookie});
    }
    const wire = tap.stop();
    expect(wire, 'the tap sees targets').to.contain('/generate');
    expect(wire, 'the tap sees peers').to.contain('requests.forward');
    expect(wire).not.to.contain(key);
    expect(wire).not.to.contain(planted.digest);
  });

  it('keeps keys and prompts out of logs, traces and metrics', async () => {
    const {key, digest} = planted;
    const spans = exporter.getFinishedSpans().map(spanText).join('\n');
    const urls = ['a-1', 'b-1'].map(name => cluster.operatorUrl(name));
    const metrics = await Promise.all(
      urls.map(async url => (await request(`${url}/metrics`)).body.text()),
    );
    expect(logged.join('\n')).to.contain('request_ended');
    expect(spans).to.contain('target');
    for (const text of [logged.join('\n'), spans, ...metrics]) {
      expect(text).not.to.contain(key);
      expect(text).not.to.contain(digest);
      expect(text).not.to.contain(PROMPT);
    }
  });
});
