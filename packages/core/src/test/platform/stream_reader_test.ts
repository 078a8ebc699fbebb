import {expect} from 'chai';
import {ManualClock, StreamReader} from '../../index.js';
import {LettersState} from './letters_state.js';
import {MemoryLog} from './memory_log.js';

const RETENTION_MS = 1_000;

function createReader() {
  const state = new LettersState();
  const reader = new StreamReader({
    state,
    retentionMs: RETENTION_MS,
    onRecord: record => state.apply(record),
  });
  const read = (log: MemoryLog) => reader.applyPage(log.page(reader.position));
  return {state, reader, read};
}

describe('StreamReader', () => {
  let clock: ManualClock;
  let log: MemoryLog;

  beforeEach(() => {
    clock = new ManualClock();
    log = new MemoryLog(clock, RETENTION_MS);
  });

  it('applies a repeated record once when it starts from a snapshot', () => {
    const early = createReader();
    log.add('id-1', 'a');
    early.read(log);
    clock.pause(600);
    log.add('snapshot', early.reader.snapshot(false, 0));
    clock.pause(600);
    log.add('id-1', 'a');
    early.read(log);
    const late = createReader();
    late.read(log);
    expect(late.state.letters).to.deep.equal(['a']);
    expect(early.state.letters).to.deep.equal(['a']);
  });

  it('buffers records until it reads a snapshot that covers the gap', () => {
    const early = createReader();
    log.add('id-1', 'a');
    early.read(log);
    clock.pause(900);
    log.add('id-2', 'b');
    clock.pause(200);
    const late = createReader();
    late.read(log);
    expect(late.state.letters).to.deep.equal([]);
    expect(late.reader.hasBase).to.equal(false);
    early.read(log);
    log.add('snapshot', early.reader.snapshot(false, 0));
    late.read(log);
    expect(late.state.letters).to.deep.equal(['a', 'b']);
  });

  it('keeps a newer state than the one restored to the log', () => {
    const behind = createReader();
    const ahead = createReader();
    log.add('id-1', 'a');
    behind.read(log);
    log.add('id-2', 'b');
    ahead.read(log);
    clock.pause(RETENTION_MS + 1);
    log.add('put-back-1', behind.reader.snapshot(true, 2));
    ahead.read(log);
    expect(ahead.state.letters).to.deep.equal(['a', 'b']);
    log.add('put-back-2', ahead.reader.snapshot(true, 2));
    behind.read(log);
    ahead.read(log);
    expect(behind.state.letters).to.deep.equal(['a', 'b']);
    expect(ahead.reader.hasBase).to.equal(true);
  });

  it('continues from a snapshot of a peer', () => {
    const source = createReader();
    log.add('id-1', 'a');
    source.read(log);
    const cutOff = createReader();
    expect(cutOff.reader.adopt(source.reader.snapshot(false, 0))).to.equal(
      true,
    );
    log.add('id-1', 'a');
    log.add('id-2', 'b');
    cutOff.read(log);
    expect(cutOff.state.letters).to.deep.equal(['a', 'b']);
    expect(cutOff.reader.adopt(source.reader.snapshot(false, 0))).to.equal(
      false,
    );
  });
});
