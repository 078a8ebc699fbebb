import {expect} from 'chai';
import fc from 'fast-check';
import {
  Frame,
  FrameDecoder,
  MAX_FRAME_BYTES,
  encodeFrame,
} from '../../index.js';

const frames: Frame[] = [
  {t: 'hello', host: 'a', zone: 'z', incarnation: 'a.1'},
  {t: 'open', id: 1, method: 'm', body: {text: 'x'.repeat(300)}},
  {t: 'beat'},
  {t: 'end', id: 1},
];

describe('FrameDecoder', () => {
  it('decodes frames from chunks of any size', () => {
    const bytes = Buffer.concat(frames.map(encodeFrame));
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 50})), cuts => {
        const decoder = new FrameDecoder();
        const read: Frame[] = [];
        let start = 0;
        for (const size of [...cuts, bytes.length]) {
          const part = bytes.subarray(start, start + size);
          read.push(...decoder.push(part)._unsafeUnwrap());
          start += size;
        }
        expect(read).to.deep.equal(frames);
      }),
      {seed: 5},
    );
  });

  it('rejects a frame that is too long, not CBOR or of unknown type', () => {
    const tooLong = Buffer.alloc(4);
    tooLong.writeUInt32BE(MAX_FRAME_BYTES + 1);
    const noCbor = Buffer.from([0, 0, 0, 2, 0x5f, 0xff]);
    const unknown = encodeFrame({t: 'other'} as unknown as Frame);
    for (const bytes of [tooLong, noCbor, unknown]) {
      const result = new FrameDecoder().push(bytes);
      expect(result.isErr() && result.error.type).to.equal('bad-frame');
    }
  });

  it('never throws on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        new FrameDecoder().push(Buffer.from(bytes));
      }),
      {seed: 6, numRuns: 500},
    );
  });
});
