import {expect} from 'chai';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {STANDING} from '../../lib/quarantine/part_record.js';
import {RunAtEnd} from '../../lib/quarantine/target_end.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {QuarantineWorld} from './quarantine_world.js';

const CRASHING = 'req-crashing';
const BYSTANDERS = ['req-a', 'req-b', 'req-c'];
const SHARED = 'shared';

const SECOND_MS = 1_000;
const DAY_MS = 86_400 * SECOND_MS;

describe('PartLedger and whole requests', () => {
  let clock: ManualClock;
  let ledger: PartLedger;
  let processes = 0;

  beforeEach(async () => {
    clock = new ManualClock();
    ledger = new PartLedger(clock, new SilentLogger());
    await clock.advance(SECOND_MS);
  });

  /** Ends a process under runs of requests that had not begun to answer. */
  function end(...runs: Array<Partial<RunAtEnd> & {parts: string[]}>): void {
    const target = `t${++processes}`;
    const toRun = (run: Partial<RunAtEnd>, i: number) => ({
      id: `${target}-${i}`,
      parts: [],
      hasBegun: false,
      tried: [],
      ...run,
    });
    ledger.recordEnd({target, startedMs: 1, runs: runs.map(toRun)});
  }

  /** Ends a process under the trial of a request, beside sound ones. */
  async function failTrial(...parts: string[]): Promise<void> {
    const trial = {requestId: `try-${++processes}`, parts, target: 'tt'};
    const tried = ledger.tryStartTrial(trial);
    expect(tried).to.include(parts.at(-1));
    end({id: trial.requestId, parts, tried}, {parts: ['req-beside']});
    ledger.endTrial(trial);
    await clock.advance(SECOND_MS);
  }

  const standing = (part: string) => ledger.standingOf(part);

  it('suspects the only request at an end, and none of several', async () => {
    end({parts: [CRASHING]});
    end(...BYSTANDERS.map(part => ({parts: [part]})));
    await clock.advance(SECOND_MS);
    expect(standing(CRASHING)).to.equal(STANDING.suspect);
    for (const part of BYSTANDERS)
      expect(standing(part)).to.equal(STANDING.watched);
  });

  it('suspects no longer an only request at whose end another is reported later', async () => {
    const report = (id: string, parts: string[]) =>
      ledger.recordEnd({
        target: 'same',
        startedMs: 1,
        runs: [{id, parts, hasBegun: true, tried: []}],
      });
    report('one', ['req-a']);
    expect(standing('req-a')).to.equal(STANDING.suspect);
    report('two', ['req-b']);
    expect(standing('req-a')).to.equal(STANDING.watched);
    expect(standing('req-b')).to.equal(STANDING.watched);
  });

  it('suspects the request that was at two ends', async () => {
    end({parts: [CRASHING]}, {parts: ['req-a']});
    await clock.advance(SECOND_MS);
    end({parts: [CRASHING]}, {parts: ['req-b']});
    await clock.advance(SECOND_MS);
    expect(standing(CRASHING)).to.equal(STANDING.suspect);
    expect(standing('req-a')).to.equal(STANDING.watched);
    expect(standing('req-b')).to.equal(STANDING.watched);
  });

  it('counts a repeat of the same attempt soon after the first end', async () => {
    end({id: 'x', parts: [CRASHING]}, {parts: ['req-a']});
    await clock.advance(200);
    end({id: 'x', parts: [CRASHING]}, {parts: ['req-b']});
    await clock.advance(200);
    expect(standing(CRASHING)).to.equal(STANDING.suspect);
  });

  it('suspects a request that ends a target among others every 400 ms', async () => {
    for (let i = 0; i < 4; i++) {
      end({parts: ['part', CRASHING]}, {parts: [`req-beside-${i}`]});
      await clock.advance(400);
    }
    expect(standing(CRASHING)).to.equal(STANDING.suspect);
    expect(standing('part')).to.equal(STANDING.suspect);
  });

  it('quarantines the request of a trial under which a target ends unanswered', async () => {
    end({parts: [CRASHING]});
    await clock.advance(SECOND_MS);
    await failTrial(CRASHING);
    expect(standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(standing('req-beside')).to.equal(STANDING.clear);
  });

  it('clears the bystanders of a request once it is quarantined', async () => {
    end({parts: ['part-a', CRASHING]}, {parts: ['part-b', 'req-b']});
    await clock.advance(SECOND_MS);
    end({parts: ['part-a', CRASHING]}, {parts: ['part-c', 'req-c']});
    await clock.advance(SECOND_MS);
    await failTrial(CRASHING);
    for (const part of ['part-b', 'req-b', 'part-c', 'req-c'])
      expect(standing(part)).to.equal(STANDING.clear);
  });

  it('lets one request that ends many targets speak once against its parts', async () => {
    for (let i = 0; i < 3; i++) {
      end({parts: [SHARED, CRASHING]});
      await clock.advance(SECOND_MS);
    }
    expect(ledger.stateOf(SHARED).ends).to.equal(1);
    end({parts: [SHARED, CRASHING]});
    await clock.advance(SECOND_MS);
    expect(standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(standing(SHARED)).to.not.equal(STANDING.quarantined);
  });

  it('quarantines the part, not one request after the other, when different requests with it end targets', async () => {
    end({parts: [SHARED, 'req-a']});
    await clock.advance(SECOND_MS);
    end({parts: [SHARED, 'req-b']});
    await clock.advance(SECOND_MS);
    await failTrial(SHARED, 'req-b');
    expect(standing(SHARED)).to.equal(STANDING.quarantined);
  });

  it('sends a request that ended three targets at most once more in a day', async () => {
    end({parts: [CRASHING]});
    await clock.advance(SECOND_MS);
    await failTrial(CRASHING);
    let trials = 0;
    for (let ms = 0; ms < DAY_MS; ms += 10 * SECOND_MS) {
      await clock.advance(10 * SECOND_MS);
      ledger.prune();
      if (standing(CRASHING) === STANDING.quarantined) continue;
      trials += 1;
      await failTrial(CRASHING);
    }
    expect(trials).to.be.within(1, 2);
  });

  it('clears a request that is answered, however often targets ended under it', async () => {
    end({parts: [CRASHING]});
    await clock.advance(SECOND_MS);
    end({parts: [CRASHING]});
    await clock.advance(SECOND_MS);
    ledger.recordAnswer(CRASHING, 10, true);
    expect(standing(CRASHING)).to.equal(STANDING.clear);
  });

  it('keeps the request under which targets ended for the next deciding host', async () => {
    end({parts: [SHARED, CRASHING]});
    await clock.advance(SECOND_MS);
    const next = new PartLedger(clock, new SilentLogger());
    next.applyDecisions(ledger.states(), true);
    ledger = next;
    end({parts: [SHARED, CRASHING]});
    await clock.advance(SECOND_MS);
    expect(ledger.stateOf(SHARED).ends).to.equal(1);
    expect(ledger.stateOf(CRASHING).ends).to.equal(2);
  });
});

describe('QuarantineExchange and whole requests', () => {
  it('tells no other host of requests that are only watched', async () => {
    const world = new QuarantineWorld(3);
    await world.clock.advance(SECOND_MS);
    const runOf = (part: string) => ({
      id: part,
      parts: [part],
      hasBegun: true,
      tried: [],
    });
    const runs = BYSTANDERS.map(runOf);
    const end = {target: 'first', startedMs: 1, runs};
    world.hosts[1].exchange.reportEnd(end);
    await world.clock.advance(5 * SECOND_MS);
    expect(world.standings('req-a')).to.deep.equal([
      STANDING.watched,
      STANDING.clear,
      STANDING.clear,
    ]);
    world.end(2, ['req-a']);
    await world.clock.advance(SECOND_MS);
    const suspect = world.hosts.map(() => STANDING.suspect);
    expect(world.standings('req-a')).to.deep.equal(suspect);
  });
});
