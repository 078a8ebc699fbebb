import {expect} from 'chai';
import fc from 'fast-check';
import {BodyBuffer} from '../../lib/intake/body_buffer.js';

describe('BodyBuffer', () => {
  it('returns the chunks in order, whatever their sizes', () => {
    const chunks = fc.array(fc.uint8Array({maxLength: 20_000}), {
      maxLength: 20,
    });
    fc.assert(
      fc.property(chunks, parts => {
        const body = new BodyBuffer();
        for (const part of parts) body.append(Buffer.from(part));
        const expected = Buffer.concat(parts);
        expect(body.take().equals(expected)).to.equal(true);
        expect(body.length).to.equal(0);
      }),
    );
  });

  // Each chunk was a buffer of its own, which ended hosts at 1-byte chunks.
  it('takes little more memory than the body, whatever the chunks', () => {
    const body = new BodyBuffer();
    const chunk = Buffer.from('a');
    let grown = 0;
    for (let i = 0; i < 200_000; i++) grown += body.append(chunk);
    expect(grown).to.be.at.most(200_000 + 65_536);
  });

  it('does not change a body that was taken before', () => {
    const first = new BodyBuffer();
    first.append(Buffer.alloc(200_000, 'a'));
    const taken = first.take();
    const second = new BodyBuffer();
    second.append(Buffer.alloc(200_000, 'b'));
    expect(taken.equals(Buffer.alloc(200_000, 'a'))).to.equal(true);
  });
});
