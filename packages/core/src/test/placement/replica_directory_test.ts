import {expect} from 'chai';
import {ManualClock, ReplicaDirectory, TargetView} from '../../index.js';

function targetView(target: string, model: string): TargetView {
  const resident = {model, version: `${model}.1`, adapters: []};
  const residents = [{...resident, state: 'ready' as const}];
  return {target, slots: 8, running: 0, leaving: false, residents};
}

describe('ReplicaDirectory', () => {
  const head = {zone: 'a', fencing: 1};
  let directory: ReplicaDirectory;
  let clock: ManualClock;

  beforeEach(() => {
    clock = new ManualClock();
    directory = new ReplicaDirectory(clock);
    const targets = [targetView('t1', 'm1'), targetView('t2', 'm2')];
    directory.update({...head, sequence: 1, targets});
  });

  it('applies changes to the view that they are based on', () => {
    const targets = [targetView('t1', 'm3')];
    const change = {...head, sequence: 2, base: 1, targets, removed: ['t2']};
    expect(directory.update(change)).to.equal(true);
    expect(directory.readyTargets('m3').map(({target}) => target)).to.eql([
      't1',
    ]);
    expect(directory.readyTargets('m1')).to.eql([]);
    expect(directory.readyTargets('m2')).to.eql([]);
  });

  it('reports a missed view and keeps the current one', () => {
    const targets = [targetView('t1', 'm3')];
    const change = {...head, sequence: 3, base: 2, targets, removed: []};
    expect(directory.update(change)).to.equal(false);
    expect(directory.readyTargets('m1')).to.have.length(1);
  });

  it('ignores views of an earlier controller', () => {
    const targets = [targetView('t1', 'm3')];
    const whole = {zone: 'a', fencing: 0, sequence: 9, targets};
    expect(directory.update(whole)).to.equal(true);
    expect(directory.readyTargets('m3')).to.eql([]);
  });

  it('subtracts elapsed time from the expected end of a load', async () => {
    const view = targetView('t1', 'm4');
    const resident = {...view.residents[0], state: 'loading' as const};
    const residents = [{...resident, readyInMs: 900}];
    const targets = [{...view, residents}];
    directory.update({...head, sequence: 2, base: 1, targets, removed: []});
    await clock.advance(400);
    expect(directory.expectedReadyInMs('m4')).to.equal(500);
    expect(directory.expectedReadyInMs('m2')).to.equal(0);
    expect(directory.expectedReadyInMs('m1')).to.equal(undefined);
  });
});
