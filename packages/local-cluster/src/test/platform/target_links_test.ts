import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LINK_CUT, LinkCut, TargetLinks} from './target_links.js';

const LOOPBACK = '127.0.0.1';

/** Time in which nothing is established, below the first repeat of a SYN. */
const CUT_MS = 900;

/** What a connection has seen, as names of events and received text. */
function watch(socket: Socket): string[] {
  const seen: string[] = [];
  socket.on('connect', () => seen.push('connect'));
  socket.on('data', chunk => seen.push(String(chunk)));
  socket.on('error', err => seen.push((err as NodeJS.ErrnoException).code!));
  return seen;
}

describe('TargetLinks', () => {
  let server: Server;
  let links: TargetLinks;
  let before: Socket;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.pipe(socket);
    });
    await new Promise<void>(resolve => server.listen(0, LOOPBACK, resolve));
    const {port} = server.address() as AddressInfo;
    links = await TargetLinks.open([port]);
    before = connect(links.portTo(port), LOOPBACK);
  });

  afterEach(async () => {
    before.destroy();
    await links.close();
    server.close();
  });

  /** Waits until a text that is sent comes back. */
  async function untilEchoed(socket: Socket, text: string): Promise<void> {
    socket.write(text);
    for (let echo = ''; !echo.includes(text);)
      echo += await new Promise(resolve => socket.once('data', resolve));
  }

  const port = () => links.portTo((server.address() as AddressInfo).port);

  const SEEN: Record<LinkCut, {before: string[]; after: string[]}> = {
    [LINK_CUT.hang]: {before: [], after: []},
    [LINK_CUT.reset]: {before: ['ECONNRESET'], after: ['ECONNREFUSED']},
    [LINK_CUT.refuse]: {before: ['b'], after: ['ECONNREFUSED']},
  };

  for (const how of Object.values(LINK_CUT)) {
    it(`forward, are cut (${how}), and forward again`, async () => {
      await untilEchoed(before, 'a');
      const seenBefore = watch(before);
      await links.cut(how);
      before.write('b');
      const after = connect(port(), LOOPBACK);
      const seenAfter = watch(after);
      await sleep(CUT_MS);
      expect(seenBefore).to.deep.equal(SEEN[how].before);
      expect(seenAfter).to.deep.equal(SEEN[how].after);
      await links.restore();
      if (how !== LINK_CUT.reset) await untilEchoed(before, 'c');
      const restored = connect(port(), LOOPBACK);
      await untilEchoed(restored, 'd');
      restored.destroy();
      after.destroy();
    });
  }
});
