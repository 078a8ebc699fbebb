import {AddressInfo, connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {DarkLink} from './dark_link.js';

describe('DarkLink', () => {
  it('forwards, and once dark neither establishes nor refuses connections', async () => {
    const server = createServer(socket => socket.pipe(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const link = await DarkLink.open((server.address() as AddressInfo).port);
    const before = connect(link.port, '127.0.0.1');
    before.write('a');
    const echoed = await new Promise(resolve => before.once('data', resolve));
    expect(String(echoed)).to.equal('a');
    await link.goDark();
    let seen = '';
    before.on('data', chunk => (seen += String(chunk)));
    before.write('b');
    const after = connect(link.port, '127.0.0.1');
    after.on('connect', () => (seen += 'connect'));
    after.on('error', () => (seen += 'error'));
    await sleep(900);
    expect(seen).to.equal('');
    before.destroy();
    after.destroy();
    await link.close();
    server.close();
  });
});
