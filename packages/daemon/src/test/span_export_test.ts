import {once} from 'node:events';
import {Server, createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {HOP, LogFields, LogLevel, Logger} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {createTracing} from '../lib/span_export.js';

class RecordingLogger extends Logger {
  readonly events: string[] = [];

  override log(level: LogLevel, event: string, fields?: LogFields): void {
    this.events.push(`${level} ${event} ${fields?.lost}`);
  }
}

describe('createTracing', () => {
  let collector: Server;
  let status: number;
  let received: string[];

  beforeEach(async () => {
    status = 200;
    received = [];
    collector = createServer((req, res) => {
      void text(req).then(body => {
        received.push(`${req.method} ${req.url} ${body}`);
        res.writeHead(status).end('{}');
      });
    });
    collector.listen(0, '127.0.0.1');
    await once(collector, 'listening');
  });

  afterEach(() => collector.close());

  function url(): string {
    const {port} = collector.address() as AddressInfo;
    return `http://127.0.0.1:${port}/v1/traces`;
  }

  it('posts finished spans to the collector', async () => {
    const tracing = createTracing(url(), new RecordingLogger());
    tracing.start(HOP.request).end();
    tracing.start(HOP.target).end();
    await tracing.flush();
    expect(received).to.have.length(1);
    expect(received[0]).to.match(/^POST \/v1\/traces /);
    const body = JSON.parse(received[0].slice('POST /v1/traces '.length));
    const names = body.resourceSpans[0].scopeSpans[0].spans.map(
      ({name}: {name: string}) => name,
    );
    expect(names).to.deep.equal(['request', 'target']);
  });

  it('logs the number of lost spans when an export fails', async () => {
    status = 400;
    const logger = new RecordingLogger();
    const tracing = createTracing(url(), logger);
    tracing.start(HOP.request).end();
    await tracing.flush().catch(() => {});
    expect(logger.events).to.deep.equal(['warn span_export_failed 1']);
  });
});
