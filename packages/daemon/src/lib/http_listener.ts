/** Serves an API on an address. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {Server, createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {Result, err, ok} from 'neverthrow';

const MAX_HEADER_BYTES = 16 * 1024;

/** Where a listener listens, and its limits. */
export interface HttpListenerOptions {
  address: string;
  /** 0 for a free one. */
  port: number;
  maxConnections: number;
}

/** An HTTP server for one API. */
export class HttpListener {
  private constructor(
    private readonly server: Server,
    /** The port in use. */
    readonly port: number,
  ) {}

  /**
   * Starts to listen.
   *
   * @param app - the API.
   * @param options - see {@link HttpListenerOptions}.
   * @returns the listener, or why the address cannot be used.
   */
  static async start(
    app: Hono,
    {address, port, maxConnections}: HttpListenerOptions,
  ): Promise<Result<HttpListener, string>> {
    const listen = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      (req, res) => void listen(req, res),
    );
    server.maxConnections = maxConnections;
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error.message)));
      server.listen(port, address, () => {
        const bound = (server.address() as AddressInfo).port;
        resolve(ok(new HttpListener(server, bound)));
      });
    });
  }

  /** Takes no new connections and closes idle ones; requests go on. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Cuts every connection. */
  cut(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
