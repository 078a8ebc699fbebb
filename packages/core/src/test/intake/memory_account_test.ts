import {expect} from 'chai';
import fc from 'fast-check';
import {ManualClock, MemoryAccount, MemoryHolding} from '../../index.js';

const LIMIT = 1_000_000;

describe('MemoryAccount', () => {
  let clock: ManualClock;
  let account: MemoryAccount;
  let evicted: string[];
  let resumed: string[];

  beforeEach(() => {
    clock = new ManualClock();
    account = new MemoryAccount(clock, LIMIT);
    evicted = [];
    resumed = [];
  });

  function open(name: string, isFavored = false): MemoryHolding {
    return account.open({
      isFavored,
      evict: () => evicted.push(name),
      resume: () => resumed.push(name),
    });
  }

  // Bodies that stop short kept their memory for as long as they stayed open.
  it('gives up what has stalled for those that wait', async () => {
    open('stalled').grow(900_000);
    expect(open('waiting').grow(200_000)).to.equal(false);
    await clock.advance(1_500);
    expect(evicted).to.deep.equal(['stalled']);
    expect(resumed).to.deep.equal(['waiting']);
  });

  it('does not give up what has stalled while there is room', async () => {
    open('stalled').grow(900_000);
    await clock.advance(60_000);
    expect(evicted).to.deep.equal([]);
  });

  it('gives up first what holds most for the longest time', async () => {
    open('small').grow(100_000);
    open('large').grow(800_000);
    open('waiting').grow(200_000);
    await clock.advance(1_500);
    expect(evicted).to.deep.equal(['large']);
  });

  it('does not count a few bytes now and then as progress', async () => {
    const trickle = open('trickle');
    trickle.grow(900_000);
    open('waiting').grow(200_000);
    for (let i = 0; i < 6; i++) {
      trickle.recordMoved(1);
      await clock.advance(250);
    }
    expect(evicted).to.deep.equal(['trickle']);
  });

  it('does not give up bodies that are in use', async () => {
    const used = open('used');
    used.grow(LIMIT);
    used.pin();
    open('waiting').grow(100_000);
    await clock.advance(900);
    expect(evicted).to.deep.equal([]);
  });

  // Callers that all send steadily would otherwise wait for each other.
  it('refuses the last one if all of them wait', async () => {
    const first = open('first');
    first.grow(700_000);
    await clock.advance(1);
    open('last').grow(350_000);
    first.grow(1_000);
    await clock.advance(1_300);
    expect(evicted).to.deep.equal(['last']);
    expect(resumed).to.deep.equal(['first']);
  });

  // One in 250 ms was refused, and 505 MB stood for seconds.
  it('refuses as many as the first one needs to go on', async () => {
    const bodies: MemoryHolding[] = [];
    for (const name of ['first', 'second', 'third', 'fourth', 'fifth']) {
      bodies.push(open(name));
      await clock.advance(1);
    }
    for (const body of bodies) body.grow(220_000);
    for (const body of bodies) body.grow(1_000);
    await clock.advance(1_300);
    expect(evicted).to.deep.equal(['fifth', 'fourth', 'third']);
    expect(resumed[0]).to.equal('first');
  });

  it('lets the one that began first go on first', async () => {
    const first = open('first');
    await clock.advance(1);
    const second = open('second');
    first.grow(400_000);
    second.grow(700_000);
    first.grow(1_000);
    second.shrink(200_000);
    expect(resumed[0]).to.equal('first');
  });

  // Small bodies of many connections exceeded the memory of the machine.
  it('gives holdings up at once far beyond the limit', async () => {
    for (let i = 0; i < 100; i++) open(`small ${i}`, true).grow(50_000);
    await Promise.resolve();
    expect(account.usedBytes).to.be.at.most(account.maxBytes);
    expect(evicted).not.to.have.lengthOf(0);
  });

  it('counts what the operating system keeps of connections that wait', async () => {
    open('large').grow(LIMIT);
    for (let i = 0; i < 100; i++) open(`waiting ${i}`).grow(100);
    await Promise.resolve();
    expect(account.waitingCount * 65_536).to.be.at.most(account.maxBytes);
  });

  it('lets small bodies pass while the account is full', () => {
    open('large').grow(LIMIT + 1);
    expect(open('small', true).grow(50_000)).to.equal(true);
    expect(open('pipelined').grow(50_000)).to.equal(false);
  });

  it('counts exactly what is held', () => {
    const step = fc.record({
      holding: fc.nat(4),
      action: fc.constantFrom('grow', 'shrink', 'close'),
      bytes: fc.integer({min: 1, max: LIMIT}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        account = new MemoryAccount(new ManualClock(), LIMIT);
        const holdings = Array.from({length: 5}, () => open('any'));
        for (const {action, bytes, holding: i} of steps) {
          const holding = holdings[i];
          if (action === 'grow') holding.grow(bytes);
          else if (action === 'close') {
            holding.close();
            holdings[i] = open('any');
          } else holding.shrink(Math.min(bytes, holding.bytes));
          const held = holdings.reduce((sum, each) => sum + each.bytes, 0);
          expect(account.usedBytes).to.equal(held);
        }
      }),
    );
  });
});
