/** HTTP server with fault injection, the base of all stand-ins. @packageDocumentation */

import {AddressInfo, Socket} from 'node:net';
import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Clock, SystemClock} from '@fuchsiacleat/core';
import {Context, Hono} from 'hono';
import {createServer} from 'node:http';
import {z} from 'zod';

/** Faults that can be injected, alone or in combination. */
export const faultsSchema = z.object({
  /** Delay before each request is handled, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Requests are accepted but neither executed nor answered. */
  silent: z.boolean().default(false),
  /** Requests are refused with status 503 and not executed. */
  down: z.boolean().default(false),
  /** Number of next requests that take effect but whose response is lost. */
  loseAnswers: z.number().int().min(0).default(0),
  /** Responses name a different request than the one they belong to. */
  crossAnswers: z.boolean().default(false),
});

/** See {@link faultsSchema}. */
export type Faults = z.output<typeof faultsSchema>;

/** No fault is injected. */
export const NO_FAULTS: Faults = faultsSchema.parse({});

/** Options of a {@link StandinServer}. */
export interface StandinOptions {
  clock?: Clock;
}

/**
 * HTTP server on the loopback address that can inject faults.
 *
 * Other processes set the faults with `PUT /faults`; code in the same process
 * assigns {@link StandinServer.faults}.
 */
export abstract class StandinServer {
  /** Faults that are injected at present. */
  faults: Faults = NO_FAULTS;
  protected readonly app = new Hono();
  protected readonly clock: Clock;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private port = 0;

  constructor(options: StandinOptions = {}) {
    this.clock = options.clock ?? new SystemClock();
    this.app.put('/faults', async c => {
      const parsed = faultsSchema.safeParse(await c.req.json());
      if (!parsed.success) return c.json({message: 'malformed faults'}, 400);
      this.faults = parsed.data;
      return c.json(this.faults);
    });
    this.app.use('*', async (c, next) => {
      await this.applyFaults(c, next);
    });
  }

  /** Base URL; valid after {@link StandinServer.start}. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /**
   * Starts to listen. After a stop it listens on the same port as before.
   *
   * @param port - the port, or 0 to choose a free one.
   * @returns the base URL.
   */
  async start(port = this.port): Promise<string> {
    const listener = getRequestListener(this.app.fetch);
    const server = createServer((req, res) => void listener(req, res));
    this.server = server;
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    return this.url;
  }

  /** Stops immediately and closes every connection. */
  async stop(): Promise<void> {
    const {server} = this;
    if (server === undefined) return;
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
  }

  /** Stops all traffic on open connections for good; new connections work. */
  silenceOpenConnections(): void {
    for (const socket of this.sockets) {
      socket.pause();
      socket.write = () => true;
    }
  }

  /** Closes the connection on which a request arrived. */
  protected closeConnection(c: Context): void {
    const {outgoing} = c.env as {outgoing: ServerResponse<IncomingMessage>};
    outgoing.socket?.destroy();
  }

  private async applyFaults(
    c: Context,
    next: () => Promise<void>,
  ): Promise<void> {
    const {delayMs, silent, down} = this.faults;
    if (delayMs > 0) await this.clock.sleep(delayMs);
    if (silent) await new Promise(() => {});
    if (down) {
      c.res = c.json({message: 'out of service'}, 503);
      return;
    }
    await next();
    if (this.faults.loseAnswers > 0) {
      this.faults = {...this.faults, loseAnswers: this.faults.loseAnswers - 1};
      this.closeConnection(c);
    }
  }
}
