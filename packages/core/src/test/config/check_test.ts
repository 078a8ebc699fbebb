import {expect} from 'chai';
import {
  RawObject,
  addDeclarations,
  checkDeclarations,
  emptySource,
  formatFault,
} from '../../index.js';

const VALID = `[zone "a"]
[target "e"]
zone = a
url = http://127.0.0.1:1
memory = 8GiB
[target "s"]
zone = a
kind = service
url = http://127.0.0.1:2
[model "m"]
version = m-1
max_replicas = 2
[version "m-1"]
model = m
weights = 3GiB
[adapter "x"]
model = m
size = 1GiB
[team "t"]
[key "k"]
team = t
digest = ${'a'.repeat(64)}
[rate "t"]
team = t
tokens_per_second = 100
burst = 600
[route "r"]
model = m
teams = t
`;

/**
 * Edits of the valid declarations: old text, new text and the expected fault.
 */
const CASES: Array<[string, string, string]> = [
  ['memory = 8GiB\n', '', 'a.ini:2: target/e: memory: an engine needs'],
  ['kind = service', 'kind = service\nmemory = 1GiB', 'a.ini:9: target/s: mem'],
  ['zone = a\nkind', 'zone = b\nkind', 'a.ini:7: target/s: zone: no valid'],
  ['max_replicas = 2', 'max_replicas = 0', 'a.ini:12: model/m: max_replicas'],
  ['weights = 3GiB', 'weights = 9GiB', 'a.ini:15: version/m-1: weights'],
  ['weights = 3GiB', 'weights = 0GiB', 'must be more than 0'],
  ['size = 1GiB', 'size = 6GiB', 'a.ini:18: adapter/x: size: does not fit'],
  [
    '[team "t"]',
    '[team "t"]\n[version "n-1"]\nmodel = n\nweights = 1GiB',
    'no',
  ],
  ['burst = 600', 'burst = 500', 'route/r: max_tokens: 512 is more than'],
  ['teams = t', 'teams = t, t', 'a.ini:29: route/r: teams: names a team twice'],
  ['teams = t', '', 'a.ini:27: route/r: teams: give either'],
  ['teams = t', 'teams = t\ntargets = s', 'route/r: model: give exactly one'],
  ['model = m\nteams', 'targets = e\nteams', '"e" is an engine'],
  ['model = m\nteams', 'targets = s,s\nteams', 'names a target twice'],
  ['teams = t', 'teams = t\ndeadline = 10m', 'is longer than max_deadline'],
  [
    '[team "t"]',
    `[team "t"]\n[key "j"]\nteam = t\ndigest = ${'a'.repeat(64)}`,
    'a.ini:25: key/k: digest: same digest as key "j"',
  ],
  [
    '[team "t"]',
    '[team "t"]\n[rate "s"]\nteam = t\ntokens_per_second = 1\nburst = 900',
    'rate/t: team: team "t" has the rate "s" already',
  ],
  [
    '[team "t"]',
    '[team "t"]\n[model "n"]\nversion = m-1',
    'a.ini:21: model/n: version: "m-1" belongs to model "m"',
  ],
];

function check(text: string): string[] {
  const source = emptySource();
  addDeclarations(source, 'a.ini', text);
  const {faults} = checkDeclarations(source.objects as RawObject[]);
  const located = faults.map(fault => source.map.locate(fault));
  return [...source.faults, ...located].map(formatFault);
}

describe('checkDeclarations', () => {
  it('reports no fault in valid declarations', () => {
    expect(check(VALID)).to.deep.equal([]);
  });

  for (const [before, after, fault] of CASES) {
    it(`reports the location of ${JSON.stringify(after || `no ${before}`)}`, () => {
      expect(VALID).to.contain(before);
      expect(check(VALID.replace(before, after)).join('\n')).to.contain(fault);
    });
  }
});
