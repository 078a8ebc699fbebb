import {expect} from 'chai';
import {
  RequestContent,
  digestRequest,
  isRequestDigest,
} from '../../lib/quarantine/request_digest.js';
import {digestParts} from '../../lib/quarantine/part_digest.js';

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'desk.example',
  requestTarget: '/a/b?c=d',
  body: Buffer.from('body'),
};

describe('digestRequest', () => {
  const original = digestRequest(CONTENT, 'team');

  it('is the same for a repeat', () => {
    const repeat = {...CONTENT, body: Buffer.from('body')};
    expect(digestRequest(repeat, 'team')).to.equal(original);
  });

  it('tells the same request of another team apart', () => {
    expect(digestRequest(CONTENT, 'other')).to.not.equal(original);
    expect(digestRequest(CONTENT, undefined)).to.not.equal(original);
  });

  for (const change of [
    {method: 'GET'},
    {host: 'other.example'},
    {requestTarget: '/a/b?c=e'},
    {body: Buffer.from('other')},
    {body: Buffer.alloc(0)},
  ]) {
    it(`tells another ${Object.keys(change)[0]} apart`, () => {
      const other = digestRequest({...CONTENT, ...change}, 'team');
      expect(other).to.not.equal(original);
    });
  }

  it('is told apart from the digest of a part', () => {
    expect(isRequestDigest(original)).to.equal(true);
    const [part] = digestParts('engines', ['5c1e07a2']);
    expect(isRequestDigest(part)).to.equal(false);
  });
});
