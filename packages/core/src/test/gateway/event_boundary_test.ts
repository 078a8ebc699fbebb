import {expect} from 'chai';
import fc from 'fast-check';
import {EventBoundary} from '../../lib/gateway/event_boundary.js';

function isInsideAfter(...chunks: string[]): boolean {
  const boundary = new EventBoundary();
  for (const chunk of chunks) boundary.push(Buffer.from(chunk));
  return boundary.isInsideEvent;
}

/** The definition: an event ends with an empty line. */
function isInside(text: string): boolean {
  const lines = text.replaceAll('\r', '').split('\n');
  const isLineOpen = lines.pop() !== '';
  return isLineOpen || (lines.length > 0 && lines.at(-1) !== '');
}

describe('EventBoundary', () => {
  it('is outside of events at the start and after an empty line', () => {
    expect(isInsideAfter()).to.equal(false);
    expect(isInsideAfter('id: 1\ndata: x\n\n')).to.equal(false);
    expect(isInsideAfter('id: 1\r\n\r\n')).to.equal(false);
  });

  it('is inside an event until its empty line', () => {
    expect(isInsideAfter('i')).to.equal(true);
    expect(isInsideAfter('id: 1\n')).to.equal(true);
    expect(isInsideAfter('id: 1\n\nid: 2\n')).to.equal(true);
  });

  it('agrees with the definition however the stream is split', () => {
    const piece = fc.constantFrom('a', 'id: 1', '\n', '\n\n', '\r\n', '');
    fc.assert(
      fc.property(fc.array(piece, {maxLength: 12}), chunks => {
        expect(isInsideAfter(...chunks)).to.equal(isInside(chunks.join('')));
      }),
    );
  });
});
