/** Keeps one client for each declared target. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {EngineClient} from './engine_client.js';
import {HttpEngineClient} from './http_engine_client.js';
import {HttpServiceClient} from './http_service_client.js';
import {ServiceClient} from './service_client.js';

interface Cached<Client> {
  url: string;
  client: Client;
}

/**
 * Creates the clients of declared targets and caches them until the declared
 * URL changes.
 */
export class TargetClients {
  private readonly engines = new Map<string, Cached<EngineClient>>();
  private readonly services = new Map<string, Cached<ServiceClient>>();

  /** @param config - the configuration in force. */
  constructor(private readonly config: ConfigState) {}

  /** Returns the client of an engine that is or was declared. */
  engine(target: string): EngineClient {
    const make = (url: string) => new HttpEngineClient(url);
    return this.lookUp(this.engines, target, make);
  }

  /** Returns the client of a service that is or was declared. */
  service(target: string): ServiceClient {
    const make = (url: string) => new HttpServiceClient(url);
    return this.lookUp(this.services, target, make);
  }

  private lookUp<Client>(
    cache: Map<string, Cached<Client>>,
    target: string,
    make: (url: string) => Client,
  ): Client {
    const url = this.config.declared.get('target', target)?.url;
    const known = cache.get(target);
    if (known !== undefined && (url === undefined || url === known.url)) {
      return known.client;
    }
    if (url === undefined)
      throw new Error(`target ${target} was never declared`);
    const client = make(url);
    cache.set(target, {url, client});
    return client;
  }
}
