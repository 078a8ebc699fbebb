import {expect} from 'chai';
import {digestParts} from '../../lib/quarantine/part_digest.js';

describe('digestParts', () => {
  it('keeps the order and hides the ids', () => {
    const digests = digestParts('engines', ['5c1e07a2', '91bd3f06']);
    expect(digests).to.have.lengthOf(2);
    expect(digests[0]).to.not.equal(digests[1]);
    expect(digests.join()).to.not.include('5c1e07a2');
    expect(digestParts('engines', ['91bd3f06'])).to.deep.equal([digests[1]]);
  });

  it('tells the same part apart at another service', () => {
    const [here] = digestParts('engines', ['5c1e07a2']);
    const [there] = digestParts('others', ['5c1e07a2']);
    expect(here).to.not.equal(there);
  });
});
