import {expect} from 'chai';
import {ForbiddenSpans} from '../lib/forbidden_spans.js';

describe('ForbiddenSpans', () => {
  it('ends the span of overlapping faults with the last of them', () => {
    const spans = new ForbiddenSpans();
    expect(spans.begin('p1', 10)).to.equal(true);
    expect(spans.begin('p1', 20)).to.equal(false);
    expect(spans.end('p1', 30)).to.equal(false);
    expect(spans.all).to.deep.equal([{name: 'p1', fromMs: 10, toMs: Infinity}]);
    expect(spans.end('p1', 40)).to.equal(true);
    expect(spans.all).to.deep.equal([{name: 'p1', fromMs: 10, toMs: 40}]);
  });

  it('keeps separate faults and names apart', () => {
    const spans = new ForbiddenSpans();
    spans.begin('p1', 10);
    spans.begin('p2', 15);
    spans.end('p1', 20);
    expect(spans.begin('p1', 30)).to.equal(true);
    spans.end('p1', 40);
    expect(spans.all).to.deep.equal([
      {name: 'p1', fromMs: 10, toMs: 20},
      {name: 'p2', fromMs: 15, toMs: Infinity},
      {name: 'p1', fromMs: 30, toMs: 40},
    ]);
  });
});
