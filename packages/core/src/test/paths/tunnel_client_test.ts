import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {TunnelError, openTunnel} from '../../lib/paths/tunnel_client.js';
import {ADDRESS, listen} from './tunnel_fixtures.js';

const TIMEOUT_MS = 300;

/** Time in which a failed tunnel has closed its connection. */
const CLOSE_MS = 200;

/** More than any head may have. */
const FLOOD = 'x'.repeat(1_000);

/** Writes the same again and again until the connection closes. */
function flood(socket: Socket, text: string): void {
  const write = () => {
    if (!socket.destroyed) socket.write(text, () => setImmediate(write));
  };
  write();
}

/** What helper hosts answer, and the reason that the host makes of it. */
const ANSWERS: Record<string, [(socket: Socket) => void, reason: string]> = {
  'an unknown status': [
    socket => socket.write('HTTP/1.1 599 target-refused?\r\n\r\n'),
    'status 599',
  ],
  'a status without its reason': [
    socket => socket.write('HTTP/1.1 503\r\n\r\n'),
    'status 503',
  ],
  'an interim status': [
    socket => socket.write('HTTP/1.1 100 Continue\r\n\r\n'),
    'status 100',
  ],
  'a status that HTTP does not have': [
    socket => socket.write('HTTP/1.1 0x0 full\r\n\r\n'),
    'HPE_INVALID_STATUS',
  ],
  'another protocol': [
    socket => socket.write('220 mail.example\r\n'),
    'HPE_INVALID_CONSTANT',
  ],
  'an endless head': [
    socket => {
      socket.write('HTTP/1.1 200 OK\r\n');
      flood(socket, `x: ${FLOOD}\r\n`);
    },
    'HPE_HEADER_OVERFLOW',
  ],
  'an endless status': [
    socket => {
      socket.write('HTTP/1.1 200 ');
      flood(socket, FLOOD);
    },
    'HPE_HEADER_OVERFLOW',
  ],
  'endless empty lines': [socket => flood(socket, '\r\n\r\n'), 'timeout'],
  'a head without an end': [
    socket => socket.write('HTTP/1.1 200 OK\r\nx: y\r\n'),
    'timeout',
  ],
  nothing: [() => {}, 'timeout'],
  'an end in place of a head': [socket => socket.end(), 'ECONNRESET'],
  'an end within a head': [
    socket => socket.end('HTTP/1.1 200 OK\r\nx'),
    'ECONNRESET',
  ],
  'a reset within a head': [
    socket =>
      socket.write('HTTP/1.1 200 OK\r\n', () => socket.resetAndDestroy()),
    'ECONNRESET',
  ],
};

describe('openTunnel', () => {
  for (const [name, [answer, reason]] of Object.entries(ANSWERS)) {
    it(`fails with a TunnelError when the helper host sends ${name}`, async () => {
      let helperSocket: Socket | undefined;
      const {port, server} = await listen(socket => {
        helperSocket = socket;
        socket.once('data', () => answer(socket));
      });
      const opened = await openTunnel({
        helper: {address: ADDRESS, port},
        target: `${ADDRESS}:80`,
        timeoutMs: TIMEOUT_MS,
      });
      server.close();
      const error = opened._unsafeUnwrapErr();
      expect(error).to.be.instanceOf(TunnelError);
      expect((error as TunnelError).reason).to.equal(reason);
      helperSocket?.resume().end();
      await sleep(CLOSE_MS);
      expect(helperSocket?.destroyed).to.equal(true);
    });
  }

  it('does not end the process on a target that can not be asked for', async () => {
    const {port, server} = await listen(() => {});
    const opening = openTunnel({
      helper: {address: ADDRESS, port},
      target: 'a target',
      timeoutMs: TIMEOUT_MS,
    });
    const code = await opening.catch(error => error.code);
    server.close();
    expect(code).to.equal('ERR_TUNNEL_FAULT');
  });
});
