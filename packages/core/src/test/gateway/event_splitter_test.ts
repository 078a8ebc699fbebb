import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from '../../lib/gateway/event_splitter.js';

function stream(count: number, end = '\n'): string {
  let text = '';
  for (let id = 1; id <= count; id++) {
    text += `id: ${id}${end}data: piece ${id}${end}${end}`;
  }
  return text;
}

describe('EventSplitter', () => {
  it('returns only whole events, however the stream is split into chunks', () => {
    const cuts = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1});
    fc.assert(
      fc.property(cuts, fc.boolean(), (sizes, isCrLf) => {
        const text = stream(12, isCrLf ? '\r\n' : '\n');
        const splitter = new EventSplitter();
        let passed = '';
        let at = 0;
        for (let i = 0; at < text.length; i++) {
          const size = sizes[i % sizes.length];
          passed += splitter.push(Buffer.from(text.slice(at, at + size)));
          at += size;
          expect(text.startsWith(passed)).to.equal(true);
          expect(passed === '' || /\r?\n\r?\n$/.test(passed)).to.equal(true);
        }
        expect(passed).to.equal(text);
        expect(splitter.lastId).to.equal('12');
      }),
    );
  });

  it('buffers a partial event and discards it for a continued stream', () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(stream(3) + 'id: 4\nda'));
    expect(splitter.lastId).to.equal('3');
    expect(splitter.hasPartialEvent).to.equal(true);
    splitter.discardPartialEvent();
    const next = splitter.push(Buffer.from('id: 4\ndata: x\n\n'));
    expect(String(next)).to.equal('id: 4\ndata: x\n\n');
  });
});
