/** Client of a plain service over HTTP. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {CheckedClient} from '../net/checked_client.js';
import {isBodilessStatus, isFinalStatus} from '../net/http_status.js';
import {
  ConnectionWatch,
  ProcessWatch,
  openConnection,
  pingRequest,
} from '../net/process_watch.js';
import {endsWithChunks} from '../net/transfer_coding.js';
import {SystemClock} from '../time/system_clock.js';
import {confirmEnd, discard} from './confirmed_body.js';
import {
  ServiceAnswer,
  ServiceCall,
  ServiceClient,
  ServiceError,
} from './service_client.js';

const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_PORT = 80;

/** Statuses of proxies whose service doesn't answer. */
const GATEWAY_ERRORS: ReadonlySet<number> = new Set([502, 503, 504]);

/**
 * A {@link ServiceClient} over HTTP. Opens a connection for each call, so that
 * no call is written to a connection that the service is about to close.
 */
export class HttpServiceClient extends ServiceClient {
  /** @param url - base URL of the service. */
  constructor(private readonly url: string) {
    super();
  }

  /** Begins to watch the process of the service. */
  private watch(): ProcessWatch {
    const {host, hostname, port} = new URL(this.url);
    return new ConnectionWatch({
      clock: new SystemClock(),
      open: signal =>
        openConnection(
          {host: hostname, port: port === '' ? HTTP_PORT : Number(port)},
          signal,
        ),
      ping: () => ({
        request: pingRequest('OPTIONS', '*', {host}),
        // Others in its place say that they can't reach it.
        isReply: status => !GATEWAY_ERRORS.has(status),
      }),
    });
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
      const headers = flattenHeaders(res.headers);
      const status = res.statusCode;
      if (!isFinalStatus(status)) {
        discard(res.body);
        const message = `status ${status}, which HTTP does not have`;
        return err({mayHaveBeenSent: true, message});
      }
      const isFramed = isEndTold(call.method, status, headers);
      const body = isFramed ? res.body : confirmEnd(res.body, this.watch());
      return ok({status, headers, body});
    } catch (error) {
      void client.destroy().catch(() => {});
      return err({
        mayHaveBeenSent: connected,
        message: (error as Error).message,
      });
    }
  }
}

/** Returns whether something else than its connection ends an answer. */
function isEndTold(
  method: string,
  status: number,
  headers: Record<string, string>,
): boolean {
  if (method === 'HEAD' || isBodilessStatus(status)) return true;
  if ('content-length' in headers) return true;
  return endsWithChunks(headers['transfer-encoding'] ?? '');
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
