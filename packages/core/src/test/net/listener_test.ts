import {once} from 'node:events';
import {AddressInfo, Server, createServer} from 'node:net';
import {expect} from 'chai';
import {startListening} from '../../lib/net/listener.js';
import {LogFields, Logger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const ADDRESS = '127.0.0.1';
const LISTENER = 'peers';

class RecordingLogger extends Logger {
  readonly events: unknown[] = [];

  override log(level: string, event: string, fields: LogFields = {}): void {
    this.events.push({level, event, ...fields});
  }
}

function acceptError(): Error {
  return Object.assign(new Error('accept ENOBUFS'), {code: 'ENOBUFS'});
}

describe('startListening', () => {
  const clock = new ManualClock();
  let logger: RecordingLogger;
  let server: Server;

  function start(started: Server, port: number): Promise<void> {
    const options = {address: ADDRESS, port, listener: LISTENER};
    return startListening(started, {...options, clock, logger});
  }

  beforeEach(async () => {
    logger = new RecordingLogger();
    server = createServer();
    await start(server, 0);
  });

  afterEach(async () => {
    server.close();
    await once(server, 'close');
  });

  it('logs errors of a server that listens, a line a second', async () => {
    for (let i = 0; i < 3; i++) server.emit('error', acceptError());
    await clock.advance(1_000);
    server.emit('error', acceptError());
    const line = {
      level: 'error',
      event: 'accept_failed',
      listener: LISTENER,
      code: 'ENOBUFS',
      message: 'accept ENOBUFS',
    };
    expect(logger.events).to.deep.equal([
      {...line, omitted: undefined},
      {...line, omitted: 2},
    ]);
  });

  it('rejects if the address is taken, and logs nothing', async () => {
    const {port} = server.address() as AddressInfo;
    let code: string | undefined;
    try {
      await start(createServer(), port);
    } catch (error) {
      ({code} = error as NodeJS.ErrnoException);
    }
    expect(code).to.equal('EADDRINUSE');
    expect(logger.events).to.have.lengthOf(0);
  });
});
