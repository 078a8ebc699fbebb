import {connect} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {parseSocketAddress} from '../../lib/net/socket_address.js';

/** Parts that are valid, out of range or malformed. */
const octet = fc.oneof(
  fc.integer({min: 0, max: 255}).map(String),
  fc.integer({min: 256, max: 999}).map(String),
  fc.constantFrom('', '-1', '01', '0x7f', '1e2', ' 1', '١'),
);
const port = fc.oneof(
  fc.integer({min: 1, max: 65_535}).map(String),
  fc.integer({min: 65_536, max: 99_999}).map(String),
  fc.constantFrom('', '0', '-1', '080', '8e3', ' 80', '80 ', '80.5', 'http'),
);
const nearAddress = fc
  .tuple(fc.array(octet, {minLength: 3, maxLength: 5}), port)
  .map(([octets, portText]) => `${octets.join('.')}:${portText}`);

describe('parseSocketAddress', () => {
  it('parses an IPv4 address and a port', () => {
    const parsed = parseSocketAddress('10.1.0.9:8080');
    expect(parsed).to.deep.equal({address: '10.1.0.9', port: 8_080});
    expect(parseSocketAddress('0.0.0.0:65535')?.port).to.equal(65_535);
  });

  it('rejects what no connection can be opened to', () => {
    const malformed = [
      ...['127.0.0.300:8080', '127.0.0.1:99999', '127.0.0.1:0', ''],
      ...['127.0.0.1', '127.0.0.01:80', ':80', 'localhost:80', '[::1]:80'],
    ];
    for (const text of malformed)
      expect(parseSocketAddress(text), text).to.equal(undefined);
  });

  // An address that passed the check ended the process when it was used.
  it('accepts only what a URL and a socket take', () => {
    fc.assert(
      fc.property(nearAddress, text => {
        const parsed = parseSocketAddress(text);
        if (parsed === undefined) return;
        expect(new URL(`http://${text}`).hostname).to.equal(parsed.address);
        const socket = connect({
          host: parsed.address,
          port: parsed.port,
          lookup: () => expect.fail('is resolved as a name'),
        });
        socket.on('error', () => {}).destroy();
      }),
    );
  });
});
