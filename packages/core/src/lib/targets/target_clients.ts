/** Keeps one client for each declared target. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {EngineClient} from './engine_client.js';
import {HttpEngineClient} from './http_engine_client.js';
import {HttpServiceClient} from './http_service_client.js';
import {ServiceClient} from './service_client.js';

interface CachedClient<Client> {
  url: string;
  client: Client;
}

/**
 * Creates the clients of declared targets and caches them until the declared
 * URL changes.
 */
export class TargetClients {
  private readonly engines = new Map<string, CachedClient<EngineClient>>();
  private readonly services = new Map<string, CachedClient<ServiceClient>>();

  /** @param config - the configuration in force. */
  constructor(private readonly config: ConfigState) {}

  /** Returns the client of an engine that is or was declared. */
  engine(target: string): EngineClient {
    const createClient = (url: string) => new HttpEngineClient(url);
    return this.getOrCreate(this.engines, target, createClient);
  }

  /** Returns the client of a service that is or was declared. */
  service(target: string): ServiceClient {
    const createClient = (url: string) => new HttpServiceClient(url);
    return this.getOrCreate(this.services, target, createClient);
  }

  private getOrCreate<Client>(
    cache: Map<string, CachedClient<Client>>,
    target: string,
    createClient: (url: string) => Client,
  ): Client {
    const url = this.config.declared.get('target', target)?.url;
    const cached = cache.get(target);
    if (cached !== undefined && (url === undefined || url === cached.url)) {
      return cached.client;
    }
    if (url === undefined)
      throw new Error(`target ${target} was never declared`);
    const client = createClient(url);
    cache.set(target, {url, client});
    return client;
  }
}
