import {expect} from 'chai';
import * as fc from 'fast-check';
import {
  Change,
  ConfigState,
  RawObject,
  checkDeclarations,
  objectId,
} from '../../index.js';

const DIGESTS = ['a', 'b'].map(letter => letter.repeat(64));

const change = (kind: Change['kind'], names: string[], fields: object) =>
  fc.record({
    kind: fc.constant(kind),
    name: fc.constantFrom(...names),
    fields: fc.option(
      fc.record(fields as Record<string, fc.Arbitrary<string>>),
      {freq: 3},
    ),
  }) as fc.Arbitrary<Change>;

const oneOf = (...values: string[]) => fc.constantFrom(...values);

/**
 * Changes of few objects, so that references become invalid and valid again
 * often.
 */
const changeArbitrary = fc.oneof(
  change('zone', ['z'], {}),
  change('target', ['e'], {
    zone: oneOf('z'),
    url: oneOf('http://127.0.0.1:1'),
    memory: oneOf('1GiB', '4GiB', '8GiB'),
  }),
  change('model', ['m'], {
    version: oneOf('v-1', 'v-2'),
    max_replicas: oneOf('1', '3'),
  }),
  change('version', ['v-1', 'v-2'], {
    model: oneOf('m', 'n'),
    weights: oneOf('1GiB', '3GiB', '6GiB'),
  }),
  change('adapter', ['x'], {model: oneOf('m'), size: oneOf('1GiB', '2GiB')}),
  change('team', ['t'], {weight: oneOf('1', '2')}),
  change('key', ['k-1', 'k-2'], {team: oneOf('t'), digest: oneOf(...DIGESTS)}),
  change('rate', ['r-1', 'r-2'], {
    team: oneOf('t'),
    tokens_per_second: oneOf('10'),
    burst: oneOf('100', '1000'),
  }),
  change('route', ['w'], {
    model: oneOf('m'),
    teams: oneOf('t'),
    max_tokens: oneOf('50', '500'),
  }),
);

function publication(base: number, changes: Change[], author?: string) {
  return {type: 'publication' as const, base, changes, message: '', author};
}

function afterChanges(objects: RawObject[], changes: Change[]): RawObject[] {
  const byId = new Map(objects.map(o => [objectId(o.kind, o.name), o]));
  for (const {kind, name, fields} of changes) {
    if (fields === null) byId.delete(objectId(kind, name));
    else byId.set(objectId(kind, name), {kind, name, fields});
  }
  return [...byId.values()];
}

describe('ConfigState', () => {
  it('accepts a publication exactly if the resulting set is valid', () => {
    const deltas = fc.array(fc.array(changeArbitrary, {maxLength: 8}), {
      maxLength: 30,
    });
    fc.assert(
      fc.property(deltas, all => {
        const state = new ConfigState();
        for (const changes of all) {
          const whole = afterChanges(state.rawObjects(), changes);
          const {faults} = checkDeclarations(whole);
          const verdict = state.apply(publication(state.version, changes), 0);
          expect(verdict.accepted).to.equal(faults.length === 0);
        }
        const {faults, declared} = checkDeclarations(state.rawObjects());
        expect(faults).to.deep.equal([]);
        for (const {kind, name} of state.rawObjects()) {
          expect(state.declared.get(kind, name)).to.deep.equal(
            declared.get(kind, name),
          );
        }
      }),
      {numRuns: 300},
    );
  });

  it('gives the same verdicts from a restored state as from the original', () => {
    fc.assert(
      fc.property(
        fc.array(changeArbitrary, {maxLength: 40}),
        fc.nat(40),
        (changes, cut) => {
          const original = new ConfigState();
          let copy = new ConfigState();
          changes.forEach((one, index) => {
            if (index === cut) {
              copy = new ConfigState();
              const json = JSON.stringify(original.capture());
              expect(copy.restore(JSON.parse(json))).to.equal(true);
            }
            const delta = publication(original.version, [one]);
            const verdict = original.apply(delta, 0);
            if (index < cut) return;
            expect(copy.apply(delta, 0)).to.deep.equal(verdict);
          });
        },
      ),
    );
  });

  it('names the conflicting change and its author in a rejection', () => {
    const state = new ConfigState();
    const team = (weight: string): Change[] => [
      {kind: 'team', name: 't', fields: {weight}},
    ];
    state.apply(publication(0, team('1'), 'asha'), 0);
    state.apply(publication(1, team('2'), 'birna'), 0);
    const verdict = state.apply(publication(1, team('3'), 'asha'), 0);
    expect(verdict).to.deep.equal({
      accepted: false,
      version: 2,
      reasons: ['team/t was changed in version 2 by birna, after base 1'],
    });
  });

  it('does not reuse a version after the log has lost its records', () => {
    const state = new ConfigState();
    const changes: Change[] = [{kind: 'team', name: 't', fields: {}}];
    const place = {offset: 41};
    expect(state.apply(publication(0, changes), 0, place)).to.deep.equal({
      accepted: true,
      version: 42,
    });
  });
});
