import {ChildProcess, spawn} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';
import {ANSWER_END, StrictCaller} from '../../lib/strict_caller.js';

const SMALL_BYTES = 800;

/** More than a host buffers of a plain answer. */
const PASSED_ON_BYTES = 300_000;

/** Time in which a host reads what its target has written, in milliseconds. */
const READ_MS = 200;

/** Writes the begin of an answer without a length to each request. */
const TARGET_PROGRAM = `
  const server = require('node:net').createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', chunk => {
      const id = /attempt-id: (\\S+)/i.exec(String(chunk))[1];
      socket.write(
        'HTTP/1.1 200 OK\\r\\nx-fuchsiacleat-attempt-id: ' + id +
          '\\r\\nx-fuchsiacleat-server-stamp: stamp\\r\\n\\r\\n' +
          'a'.repeat(Number(id.split('-')[1])),
      );
    });
  });
  server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

// The operating system closes the connections of a killed process in order.
describe('GatewayHost and a target that is killed amid an answer without a length', () => {
  let target: ChildProcess;
  let world: PlatformWorld;

  beforeEach(async () => {
    target = spawn(process.execPath, ['-e', TARGET_PROGRAM], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const port = await new Promise<number>(resolve =>
      target.stdout!.once('data', chunk => resolve(Number(chunk))),
    );
    const prepare = async ({plain}: PlatformWorld) => {
      plain[0].registeredPort = port;
    };
    world = await PlatformWorld.start(1, 1, {plainCount: 1, prepare});
  });

  afterEach(async () => {
    await world.stop();
    target.kill('SIGKILL');
  });

  for (const bytes of [SMALL_BYTES, PASSED_ON_BYTES])
    it(`does not pass it on as complete after ${bytes} bytes`, async () => {
      const caller = await StrictCaller.open(world.callerUrl());
      const id = `r-${bytes}`;
      const answered = caller.call({path: ROUTE_PATH.once, id});
      await sleep(READ_MS);
      target.kill('SIGKILL');
      const {end, status} = await answered;
      caller.destroy();
      if (status === 200) expect(end).to.equal(ANSWER_END.broken);
      else expect(status).to.equal(502);
    });
});
