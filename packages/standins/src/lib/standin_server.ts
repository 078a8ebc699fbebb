/** What all stand-ins share: an HTTP server with faults. @packageDocumentation */

import {AddressInfo, Socket} from 'node:net';
import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Clock, SystemClock} from '@fuchsiacleat/core';
import {Context, Hono} from 'hono';
import {createServer} from 'node:http';
import {z} from 'zod';

/** Faults that can be switched on, at once or together. */
export const faultsSchema = z.object({
  /** Delay before each request is handled, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Requests are taken and never answered or carried out. */
  silent: z.boolean().default(false),
  /** Requests are refused with status 503 and not carried out. */
  down: z.boolean().default(false),
  /** So many of the next requests take effect, but their answer is lost. */
  loseAnswers: z.number().int().min(0).default(0),
  /** Answers name another request than the one that they answer. */
  crossAnswers: z.boolean().default(false),
});

/** See {@link faultsSchema}. */
export type Faults = z.output<typeof faultsSchema>;

/** Faults all switched off. */
export const NO_FAULTS: Faults = faultsSchema.parse({});

/** Options of a {@link StandinServer}. */
export interface StandinOptions {
  clock?: Clock;
}

/**
 * An HTTP server on loopback.
 *
 * `PUT /faults` sets faults from another process; in the same process assign
 * {@link StandinServer.faults}.
 */
export abstract class StandinServer {
  /** Faults in force. */
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

  /** Base URL, once started. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /**
   * Starts to listen, again on the same port after a stop.
   *
   * @param port - 0 for a free one.
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

  /** Stops at once, cutting every connection. */
  async stop(): Promise<void> {
    const {server} = this;
    if (server === undefined) return;
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
  }

  /** Open connections go silent for good; new ones work. */
  silenceOpenConnections(): void {
    for (const socket of this.sockets) {
      socket.pause();
      socket.write = () => true;
    }
  }

  /** Cuts the connection that a request came in over. */
  protected cut(c: Context): void {
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
      this.cut(c);
    }
  }
}
