import {expect} from 'chai';
import {ClaimTable} from '../../index.js';

describe('ClaimTable', () => {
  it('removes only the claims accepted before the given time', () => {
    const table = new ClaimTable();
    const claim = (key: string) =>
      ({type: 'claim', key, content: 'c'}) as const;
    table.apply('1', claim('old'), 100);
    table.apply('2', claim('new'), 200);
    table.expire(150);
    expect(table.get('old')).to.equal(undefined);
    expect(table.get('new')?.claimId).to.equal('2');
  });
});
