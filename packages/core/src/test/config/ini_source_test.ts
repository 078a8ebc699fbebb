import {expect} from 'chai';
import {
  addDeclarations,
  checkDeclarations,
  emptySource,
  formatFault,
} from '../../index.js';

function faultsOf(text: string): string[] {
  const source = emptySource();
  addDeclarations(source, 'a.ini', text);
  const {faults} = checkDeclarations(source.objects);
  const located = faults.map(fault => source.map.locate(fault));
  return [...source.faults, ...located].map(formatFault);
}

describe('declarations in INI files', () => {
  it('reads object names that contain dots', () => {
    const source = emptySource();
    addDeclarations(source, 'a.ini', '[zone "a.b.c"]\nweight = 2\n');
    expect(source.faults).to.deep.equal([]);
    expect(source.objects).to.deep.equal([
      {kind: 'zone', name: 'a.b.c', fields: {weight: '2'}},
    ]);
  });

  it('reports every fault at once with file and line', () => {
    const faults = faultsOf(
      [
        '[zone "a"]',
        'weight = heavy',
        '[team "t"]',
        'colour = red',
        '[key "k"]',
        'team = nobody',
        'digest = 12',
        '[gadget "g"]',
        '[team "t"]',
        'no value here',
      ].join('\n'),
    );
    const places = faults.map(fault => fault.split(' ')[0]);
    expect(places).to.have.members([
      'a.ini:2:',
      'a.ini:4:',
      'a.ini:6:',
      'a.ini:7:',
      'a.ini:8:',
      'a.ini:9:',
      'a.ini:10:',
    ]);
  });
});
