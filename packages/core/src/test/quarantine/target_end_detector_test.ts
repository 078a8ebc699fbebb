import {expect} from 'chai';
import {KnownTarget} from '../../lib/gateway/target_table.js';
import {TargetEndDetector} from '../../lib/quarantine/target_end_detector.js';
import {TargetEnd} from '../../lib/quarantine/target_end.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

const CHECK_MS = 5;

function runOf(id: string) {
  return {id, parts: ['p'], hasBegun: true, tried: []};
}

function createWorld(isListening: boolean | undefined) {
  const clock = new ManualClock();
  const ends: TargetEnd[] = [];
  const ended: string[] = [];
  const world = {checks: 0};
  const detector = new TargetEndDetector({
    clock,
    logger: new SilentLogger(),
    isListening: async () => {
      world.checks += 1;
      await clock.sleep(CHECK_MS);
      return isListening;
    },
    onEnded: id => ended.push(id),
    report: end => ends.push(end),
  });
  const target = new KnownTarget(targetRegistration({id: 't1'}), clock);
  return {clock, detector, ended, ends, target, world};
}

describe('TargetEndDetector', () => {
  it('reports the runs of a process that no longer listens, with one check', async () => {
    const {clock, detector, ends, target, world} = createWorld(false);
    const results = ['r1', 'r2'].map(id =>
      detector.recordBrokenRun(target, runOf(id)),
    );
    await clock.advance(CHECK_MS);
    expect(await Promise.all(results)).to.deep.equal([true, true]);
    expect(await detector.recordBrokenRun(target, runOf('r3'))).to.equal(true);
    const ids = ends.flatMap(({runs}) => runs.map(({id}) => id));
    expect(ids).to.have.members(['r1', 'r2', 'r3']);
    expect(world.checks).to.equal(1);
  });

  for (const isListening of [true, undefined]) {
    it(`reports nothing if the check gives ${isListening}`, async () => {
      const {clock, detector, ends, target} = createWorld(isListening);
      const result = detector.recordBrokenRun(target, runOf('r1'));
      await clock.advance(CHECK_MS);
      expect(await result).to.equal(false);
      expect(ends).to.have.lengthOf(0);
    });
  }

  it('checks a target that breaks off a run that it has withstood', async () => {
    const {clock, detector, ended, ends, target} = createWorld(false);
    const result = detector.recordBrokenRun(target, undefined);
    await clock.advance(CHECK_MS);
    expect(await result).to.equal(true);
    expect(ended).to.deep.equal(['t1']);
    expect(ends).to.have.lengthOf(0);
  });

  it('accuses no request of the end of a target that is leaving', async () => {
    const {detector, ends, target, world} = createWorld(false);
    target.registration = {...target.registration, isLeaving: true};
    expect(await detector.recordBrokenRun(target, runOf('r1'))).to.equal(false);
    expect(ends).to.have.lengthOf(0);
    expect(world.checks).to.equal(0);
  });

  it('checks again after a while', async () => {
    const {clock, detector, target, world} = createWorld(false);
    void detector.recordBrokenRun(target, runOf('r1'));
    await clock.advance(2_000);
    void detector.recordBrokenRun(target, runOf('r2'));
    await clock.advance(CHECK_MS);
    expect(world.checks).to.equal(2);
  });

  // Guards against an end that goes unseen behind a lost connection.
  it('checks again at the next broken run while the process listens', async () => {
    const {clock, detector, target, world} = createWorld(true);
    for (const ids of [['r1', 'r2'], ['r3']]) {
      for (const id of ids) void detector.recordBrokenRun(target, runOf(id));
      await clock.advance(CHECK_MS);
    }
    expect(world.checks).to.equal(2);
  });
});
