import {expect} from 'chai';
import {RouteRule} from '../../lib/gateway/deployment.js';
import {RouteTable} from '../../lib/gateway/route_table.js';
import {routeRule} from './gateway_fixtures.js';

function table(...prefixes: string[]): RouteTable {
  const routes = prefixes.map(pathPrefix =>
    routeRule({name: pathPrefix, pathPrefix}),
  );
  return new RouteTable(routes);
}

function nameOf(route: RouteRule | undefined): string | undefined {
  return route?.name;
}

describe('RouteTable', () => {
  it('selects the longest prefix of the path', () => {
    const routes = table('/a/', '/a/b/', '/a/b/c/');
    expect(nameOf(routes.match('h.example', '/a/b/x'))).to.equal('/a/b/');
    expect(nameOf(routes.match('h.example', '/a/b/c/'))).to.equal('/a/b/c/');
    expect(nameOf(routes.match('h.example', '/a/'))).to.equal('/a/');
  });

  it('matches whole path segments only', () => {
    const routes = table('/a/');
    expect(routes.match('h.example', '/ab/c')).to.equal(undefined);
    expect(routes.match('h.example', '/a')).to.equal(undefined);
  });

  it('ignores case and port of the host and matches no other host', () => {
    const routes = table('/');
    expect(nameOf(routes.match('H.Example:8080', '/x'))).to.equal('/');
    expect(routes.match('other.example', '/x')).to.equal(undefined);
  });
});
