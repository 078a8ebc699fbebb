import {expect} from 'chai';
import {BatchingPlatformLog, ManualClock} from '../../index.js';
import {MemoryLog} from './memory_log.js';

const signal = new AbortController().signal;

describe('BatchingPlatformLog', () => {
  it('appends the records of a few milliseconds in one call', async () => {
    const clock = new ManualClock();
    const inner = new MemoryLog(clock);
    const log = new BatchingPlatformLog(inner, clock);
    const answers = ['a', 'b', 'c'].map(id =>
      log.append('s', [{id, body: id}], signal),
    );
    await clock.advance(10);
    const offsets = await Promise.all(answers);
    expect(offsets.map(answer => answer._unsafeUnwrap())).to.deep.equal([
      [0],
      [1],
      [2],
    ]);
    expect(inner.appendCalls).to.equal(1);
  });

  it('fails every append of a batch whose outcome is unknown', async () => {
    const clock = new ManualClock();
    const inner = new MemoryLog(clock);
    inner.isDown = true;
    const log = new BatchingPlatformLog(inner, clock);
    const answers = ['a', 'b'].map(id =>
      log.append('s', [{id, body: id}], signal),
    );
    await clock.advance(10);
    for (const answer of await Promise.all(answers)) {
      expect(answer.isErr()).to.equal(true);
    }
  });

  it('ends an append at its own signal while others of its batch wait', async () => {
    const clock = new ManualClock();
    const inner = new MemoryLog(clock);
    inner.append = () => new Promise(() => {});
    const log = new BatchingPlatformLog(inner, clock);
    const impatient = new AbortController();
    const answer = log.append('s', [{id: 'a', body: 1}], impatient.signal);
    void log.append('s', [{id: 'b', body: 2}], signal);
    await clock.advance(10);
    impatient.abort();
    const pending = new Promise(resolve => setTimeout(resolve, 50, 'pending'));
    const first = await Promise.race([answer, pending]);
    expect(first).not.to.equal('pending');
    expect((await answer).isErr()).to.equal(true);
  });
});
