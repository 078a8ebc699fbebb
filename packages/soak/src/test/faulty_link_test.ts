import {AddressInfo, Server, connect, createServer} from 'node:net';
import {expect} from 'chai';
import {FaultyLink, LINK_MODE, LinkMode} from '../lib/faulty_link.js';

describe('FaultyLink', () => {
  let server: Server;
  let link: FaultyLink;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end('the whole answer'));
    });
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    link = new FaultyLink((server.address() as AddressInfo).port);
    await link.open();
  });

  afterEach(async () => {
    await link.close();
    server.close();
  });

  /** Returns what a caller receives, and whether its connection was reset. */
  async function call(mode: LinkMode): Promise<[string, boolean]> {
    link.setMode(mode);
    const socket = connect(link.port, '127.0.0.1');
    let text = '';
    let isReset = false;
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => (isReset = true));
    socket.write('a request');
    await new Promise(done => socket.on('close', done));
    return [text, isReset];
  }

  it('passes the whole answer on', async () => {
    expect(await call(LINK_MODE.open)).to.deep.equal([
      'the whole answer',
      false,
    ]);
  });

  it('does not end a slow connection before its data', async () => {
    expect(await call(LINK_MODE.slow)).to.deep.equal([
      'the whole answer',
      false,
    ]);
  });

  it('does not end a connection in order on which data was dropped', async () => {
    expect(await call(LINK_MODE.oneWay)).to.deep.equal(['', true]);
  });
});
