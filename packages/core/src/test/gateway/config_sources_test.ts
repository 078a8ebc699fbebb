import {expect} from 'chai';
import {ConfigSources} from '../../lib/gateway/config_sources.js';

const ZONE = 'z';

function host(name: string) {
  return {host: name, zone: 'group', incarnation: `${name}-1`};
}

describe('ConfigSources', () => {
  it('lets one host of a zone read the store and spreads the others over hosts', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    const sourceNames = Array.from({length: 33}, (unused, i) =>
      sources.sourceFor(host(`h${i}`), ZONE, 8),
    );
    expect(sourceNames.filter(name => name === undefined)).to.have.length(1);
    const clientCounts = new Map<string, number>();
    for (const name of sourceNames) {
      if (name !== undefined)
        clientCounts.set(name, (clientCounts.get(name) ?? 0) + 1);
    }
    expect(Math.max(...clientCounts.values())).to.be.at.most(3);
    const hops = new Map<string, number>();
    sourceNames.forEach((name, i) => {
      hops.set(`h${i}`, name === undefined ? 0 : hops.get(name)! + 1);
    });
    expect(Math.max(...hops.values())).to.be.at.most(3);
  });

  it('refers hosts in the zone of the assigning host to that host', () => {
    const sources = new ConfigSources(host('reader'), ZONE);
    expect(sources.sourceFor(host('h1'), ZONE, 8)).to.equal('reader');
  });

  it('refers a host that was not served to the other kind of source', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    const first = host('h1');
    const second = host('h2');
    expect(sources.sourceFor(first, ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(second, ZONE, 8)).to.equal('h1');
    // The store does not serve the first host, which cannot serve the second.
    expect(sources.sourceFor(second, ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(first, ZONE, 8)).to.equal('h2');
    expect(sources.sourceFor(first, ZONE, 8)).to.equal(undefined);
  });

  it('assigns the sources anew for each version', () => {
    const sources = new ConfigSources(host('reader'), 'elsewhere');
    expect(sources.sourceFor(host('h1'), ZONE, 8)).to.equal(undefined);
    expect(sources.sourceFor(host('h2'), ZONE, 9)).to.equal(undefined);
    expect(sources.sourceFor(host('h1'), ZONE, 9)).to.equal('h2');
  });
});
