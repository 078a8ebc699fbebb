/** Client of a plain service over HTTP. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {CheckedClient} from '../net/checked_client.js';
import {
  ServiceAnswer,
  ServiceCall,
  ServiceClient,
  ServiceError,
} from './service_client.js';

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * A {@link ServiceClient} over HTTP. Opens a connection for each call, so that
 * no call is written to a connection that the service is about to close.
 */
export class HttpServiceClient extends ServiceClient {
  /** @param url - base URL of the service. */
  constructor(private readonly url: string) {
    super();
  }

  override async call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    const {origin, pathname} = new URL(this.url);
    const client = new CheckedClient(origin, {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    let connected = false;
    client.once('connect', () => {
      connected = true;
    });
    try {
      const res = await client.request({
        method: call.method as 'GET',
        path: pathname.replace(/\/$/, '') + call.path,
        headers: {...call.headers, connection: 'close'},
        body: call.body.length > 0 ? call.body : null,
        signal,
      });
      res.body.once('close', () => void client.destroy().catch(() => {}));
      return ok({
        status: res.statusCode,
        headers: flattenHeaders(res.headers),
        body: res.body,
      });
    } catch (error) {
      void client.destroy().catch(() => {});
      return err({
        mayHaveBeenSent: connected,
        message: (error as Error).message,
      });
    }
  }
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = String(value);
  }
  return flat;
}
