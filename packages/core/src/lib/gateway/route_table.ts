/** Lookup of the route of a request. @packageDocumentation */

import {RouteRule} from './deployment.js';

/** Index of routes by host name and path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, RouteRule>>();

  /** @param routes - all routes of a configuration. */
  constructor(routes: readonly RouteRule[]) {
    for (const route of routes) this.add(route);
  }

  /**
   * Finds the route of a request.
   *
   * @param host - host name of the request; case and port are ignored.
   * @param path - path of the request, without the query.
   * @returns the route with the longest matching prefix, if any.
   */
  match(host: string, path: string): RouteRule | undefined {
    const prefixes = this.byHost.get(hostName(host));
    if (prefixes === undefined) return undefined;
    let end = path.length;
    while (end > 0) {
      const slash = path.lastIndexOf('/', end - 1);
      if (slash < 0) return undefined;
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      end = slash;
    }
    return undefined;
  }

  private add(route: RouteRule): void {
    let prefixes = this.byHost.get(route.host);
    if (prefixes === undefined) {
      prefixes = new Map();
      this.byHost.set(route.host, prefixes);
    }
    prefixes.set(route.pathPrefix, route);
  }
}

function hostName(host: string): string {
  const colon = host.indexOf(':');
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
