import {expect} from 'chai';
import {ConfigSources} from '../../lib/gateway/config_sources.js';

const ZONE = 'z';

function host(name: string) {
  return {host: name, zone: 'group', incarnation: `${name}-1`};
}

describe('ConfigSources', () => {
  it('lets one host of a zone read, and spreads the others', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    const named = Array.from({length: 33}, (unused, i) =>
      sources.sourceFor(host(`h${i}`), ZONE, 8),
    );
    expect(named.filter(name => name === undefined)).to.have.length(1);
    const takers = new Map<string, number>();
    for (const name of named) {
      if (name !== undefined) takers.set(name, (takers.get(name) ?? 0) + 1);
    }
    expect(Math.max(...takers.values())).to.be.at.most(3);
    const ways = new Map<string, number>();
    named.forEach((name, i) => {
      ways.set(`h${i}`, name === undefined ? 0 : ways.get(name)! + 1);
    });
    expect(Math.max(...ways.values())).to.be.at.most(3);
  });

  it('lets nobody read who is in the zone of the one that tells', () => {
    const sources = new ConfigSources(host('reader'), ZONE);
    expect(sources.sourceFor(host('h1'), ZONE, 8)).to.equal('reader');
  });

  it('sends a host that was not served the other way', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    const first = host('h1');
    const second = host('h2');
    expect(sources.sourceFor(first, ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(second, ZONE, 8)).to.equal('h1');
    // The store turns the first away, the first does not answer the second.
    expect(sources.sourceFor(second, ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(first, ZONE, 8)).to.equal('h2');
    expect(sources.sourceFor(first, ZONE, 8)).to.equal(undefined);
  });

  it('begins anew with each version', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    expect(sources.sourceFor(host('h1'), ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(host('h2'), ZONE, 9)).to.equal(undefined);
    expect(sources.sourceFor(host('h1'), ZONE, 9)).to.equal('h2');
  });
});
