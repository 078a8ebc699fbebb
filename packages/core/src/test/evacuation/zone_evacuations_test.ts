import {expect} from 'chai';
import fc from 'fast-check';
import {ZoneEvacuations} from '../../lib/evacuation/zone_evacuations.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

function createEvacuations() {
  const clock = new ManualClock();
  const evacuations = new ZoneEvacuations(clock);
  const changes: string[] = [];
  evacuations.onChange(({zone, isEvacuated}) =>
    changes.push(`${zone}:${isEvacuated ? 'out' : 'in'}`),
  );
  return {clock, evacuations, changes};
}

describe('ZoneEvacuations', () => {
  // Guards against a host that learns from an older reader, or reads the topic
  // again from an older offset, and takes a zone back into service.
  it('ignores records and sets that are older than the applied ones', () => {
    const {evacuations, changes} = createEvacuations();
    evacuations.set('a', true, 5);
    evacuations.set('a', false, 4);
    evacuations.replaceAll([], 4);
    expect(evacuations.zones).to.deep.equal(['a']);
    expect(evacuations.revision).to.equal(5);
    expect(changes).to.deep.equal(['a:out']);
  });

  it('ends the evacuations that a complete read does not list', async () => {
    const {clock, evacuations, changes} = createEvacuations();
    evacuations.replaceAll(['b', 'a'], 3);
    await clock.advance(100);
    evacuations.replaceAll(['b', 'c'], 7);
    expect(evacuations.zones).to.deep.equal(['b', 'c']);
    expect(evacuations.endedMs('a')).to.equal(clock.now());
    expect(evacuations.endedMs('b')).to.equal(undefined);
    expect(changes).to.deep.equal(['b:out', 'a:out', 'a:in', 'c:out']);
  });

  // Guards against a zone that stays evacuated for good, as no later record
  // raises the revision.
  it('drops what a provisional set kept with a complete set of the same revision', () => {
    const {evacuations} = createEvacuations();
    evacuations.set('a', true, 5);
    evacuations.addAll(['b'], 7);
    evacuations.set('c', true, 8);
    expect(evacuations.zones).to.deep.equal(['a', 'b', 'c']);
    expect(evacuations.isProvisional).to.equal(true);
    evacuations.replaceAll(['b', 'c'], 8);
    expect(evacuations.zones).to.deep.equal(['b', 'c']);
    expect(evacuations.isProvisional).to.equal(false);
    evacuations.replaceAll([], 8);
    expect(evacuations.zones).to.deep.equal(['b', 'c']);
  });

  // Guards against a part of a set that is passed on with the revision of the
  // whole set, so that the rest is taken for known.
  it('reports changes once the whole set is applied', () => {
    const {evacuations} = createEvacuations();
    const reported: Array<readonly string[]> = [];
    evacuations.onChange(() => reported.push(evacuations.zones));
    evacuations.replaceAll(['a', 'b'], 1);
    expect(reported).to.deep.equal([
      ['a', 'b'],
      ['a', 'b'],
    ]);
  });

  // Guards against targets that count as warm, as the second return is taken
  // for the first one.
  it('dates the last of two evacuations in quick succession', async () => {
    const {clock, evacuations, changes} = createEvacuations();
    evacuations.set('a', true, 1);
    evacuations.set('a', false, 2);
    await clock.advance(10);
    evacuations.set('a', true, 3);
    evacuations.set('a', false, 4);
    expect(evacuations.endedMs('a')).to.equal(clock.now());
    expect(changes).to.deep.equal(['a:out', 'a:in', 'a:out', 'a:in']);
  });

  it('learns the end of an evacuation that it has missed', async () => {
    const {clock, evacuations, changes} = createEvacuations();
    await clock.advance(100);
    evacuations.recordEnd({zone: 'a', revision: 4, endedMs: 40});
    evacuations.recordEnd({zone: 'a', revision: 2, endedMs: 60});
    expect(evacuations.endedMs('a')).to.equal(40);
    expect(evacuations.endedSince(30)).to.deep.equal([
      {zone: 'a', revision: 4, endedMs: 40},
    ]);
    expect(evacuations.endedSince(50)).to.deep.equal([]);
    expect(changes).to.deep.equal(['a:in']);
  });

  // Guards against hosts that differ after they have seen the same records in
  // another order, some of them only as a complete set.
  it('has the newest state whatever the order of what it learns', () => {
    const zone = fc.constantFrom('a', 'b', 'c');
    const record = fc.record({zone, isEvacuated: fc.boolean()});
    const step = fc.record({index: fc.nat(), isSet: fc.boolean()});
    fc.assert(
      fc.property(
        fc.array(record, {minLength: 1, maxLength: 8}),
        fc.array(step, {maxLength: 20}),
        (records, steps) => {
          const {evacuations} = createEvacuations();
          const sets = records.map((unused, end) => {
            const state = new Set<string>();
            for (const each of records.slice(0, end + 1))
              if (each.isEvacuated) state.add(each.zone);
              else state.delete(each.zone);
            return [...state].sort();
          });
          for (const {index, isSet} of steps) {
            const revision = index % records.length;
            const {zone, isEvacuated} = records[revision];
            // A single record only follows the one before it.
            const isNext = evacuations.revision === revision - 1;
            if (isSet || !isNext)
              evacuations.replaceAll(sets[revision], revision);
            else evacuations.set(zone, isEvacuated, revision);
            const known = evacuations.revision;
            expect(evacuations.zones).to.deep.equal(sets[known]);
          }
        },
      ),
    );
  });
});
