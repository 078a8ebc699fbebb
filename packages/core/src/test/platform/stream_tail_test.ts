import {setMaxListeners} from 'node:events';
import {expect} from 'chai';
import {
  ManualClock,
  Random,
  RecordIdGenerator,
  SilentLogger,
  StreamTail,
  parseSnapshot,
} from '../../index.js';
import {LettersState} from './letters_state.js';
import {MemoryLog} from './memory_log.js';

const RETENTION_MS = 60_000;
const STREAM = 'letters';

describe('StreamTail', () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let stop: AbortController;

  beforeEach(() => {
    clock = new ManualClock();
    log = new MemoryLog(clock, RETENTION_MS);
    stop = new AbortController();
    setMaxListeners(0, stop.signal);
  });

  afterEach(() => stop.abort());

  function startHost(name: string, seed: number) {
    const state = new LettersState();
    const tail = new StreamTail({
      log,
      clock,
      stream: STREAM,
      logger: new SilentLogger(),
      ids: new RecordIdGenerator(name),
      onRecord: record => state.apply(record),
      snapshots: {state, random: new Random(seed), retentionMs: RETENTION_MS},
    });
    void tail.run(stop.signal);
    return {state, tail};
  }

  function snapshots(): number {
    return log.records.filter(({body}) => parseSnapshot(body)).length;
  }

  it('renews snapshots before they expire, on few of many hosts', async () => {
    for (let seed = 1; seed <= 9; seed++) startHost(`h-${seed}`, seed);
    log.add('id-1', 'a');
    for (let second = 0; second < 600; second++) {
      await clock.advance(1_000);
      if (second > 30) expect(snapshots()).to.be.greaterThan(0);
    }
    expect(log.appendCalls).to.be.lessThan(40);
    const late = startHost('late', 10);
    await clock.advance(1_000);
    expect(late.state.letters).to.deep.equal(['a']);
  });

  it('restores its state to the log after an outage longer than the retention', async () => {
    const holder = startHost('h-1', 1);
    log.add('id-1', 'a');
    await clock.advance(1_000);
    log.isDown = true;
    await clock.advance(3 * RETENTION_MS);
    log.isDown = false;
    const late = startHost('h-2', 2);
    await clock.advance(5_000);
    expect(holder.state.letters).to.deep.equal(['a']);
    expect(late.state.letters).to.deep.equal(['a']);
  });

  it('keeps a snapshot in a log with a shorter retention than configured', async () => {
    log = new MemoryLog(clock, RETENTION_MS / 10);
    const holder = startHost('h-1', 1);
    log.add('id-1', 'a');
    await clock.advance(1);
    await clock.advance(RETENTION_MS / 4);
    const late = startHost('h-2', 2);
    // Less than the renewal age, which is a fraction of the configured
    // retention.
    await clock.advance(RETENTION_MS / 15);
    expect(holder.state.letters).to.deep.equal(['a']);
    expect(late.state.letters).to.deep.equal(['a']);
  });

  it('restores its state after a host has started from an empty one', async () => {
    const holder = startHost('h-1', 1);
    log.add('id-1', 'a');
    await clock.advance(1_000);
    const lost = new LettersState();
    log.add('begun-anew', {
      ...holder.tail.reader.snapshot(true, 0),
      version: lost.version,
      state: lost.capture(),
    });
    await clock.advance(5_000);
    const newest = parseSnapshot(log.records.at(-1)!.body)!;
    expect(newest.state).to.deep.equal(['a']);
  });

  it('starts from an empty state after a delay if no host holds a state', async () => {
    log.add('id-1', 'a');
    await clock.advance(2 * RETENTION_MS);
    const host = startHost('h-1', 1);
    let ready = false;
    void host.tail.whenCaughtUp().then(() => (ready = true));
    await clock.advance(5_000);
    expect(ready).to.equal(false);
    await clock.advance(60_000);
    expect(ready).to.equal(true);
    log.add('id-2', 'b');
    await clock.advance(1_000);
    expect(host.state.letters).to.deep.equal(['b']);
  });
});
