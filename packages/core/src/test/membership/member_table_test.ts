import {expect} from 'chai';
import {memberSchema} from '../../lib/membership/member_table.js';

describe('memberSchema', () => {
  // A link to such a port throws, which ended every host of the zone.
  it('rejects ports that no connection can be opened to', () => {
    const member = (port: number) => ({
      host: 'h1',
      zone: 'a',
      incarnation: 'h1.1',
      peer: {address: '127.0.0.1', port},
      operator: {address: '127.0.0.1', port: 9_000},
    });
    expect(memberSchema.safeParse(member(65_535)).success).to.equal(true);
    for (const port of [65_536, 99_999, -1, 80.5])
      expect(memberSchema.safeParse(member(port)).success).to.equal(false);
  });
});
