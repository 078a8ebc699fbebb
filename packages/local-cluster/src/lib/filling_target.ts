/** Target that fills the buffers of a caller's connection. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {SERVICE} from './platform_world.js';

const HEADER_PREFIX = 'x-fuchsiacleat-';
const MODELS = [{Name: 'm1', Version: 1, Adapters: []}];

/** Less than a host buffers before it stops to read an answer. */
const EVENT_BYTES = 8 * 1024;

/** Last event of each answer. */
export const LAST_EVENT = 'data: last\n\n';

/** Target whose answers go on until the connection to the caller is full. */
export class FillingTarget {
  /** Whether the current answer may end. */
  isFull: () => boolean = () => true;
  private readonly bornMs = Date.now();
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  /** Starts to listen on a free port. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
  }

  /** Stops and closes every connection. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Returns a registration of the target.
   *
   * @param service - service that it is registered for.
   */
  registration(service: string): object {
    const {port} = this.server.address() as AddressInfo;
    return {
      Service: service,
      Addr: `127.0.0.1:${port}`,
      Zone: 'a',
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 0,
      Models: service === SERVICE.engines ? MODELS : [],
      born: this.bornMs,
    };
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    req.resume();
    await new Promise(resolve => req.on('end', resolve));
    if (req.url === '/report') {
      const report = {Stage: 'both', Models: MODELS, Busy: false, Seq: 0};
      res.end(JSON.stringify(report));
      return;
    }
    const id = String(req.headers[`${HEADER_PREFIX}attempt-id`] ?? '');
    res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
    res.setHeader(`${HEADER_PREFIX}server-stamp`, 'filling.stamp');
    const isStream = req.headers[`${HEADER_PREFIX}model`] !== undefined;
    if (isStream) res.setHeader('content-type', 'text/event-stream');
    const event = `data: ${'x'.repeat(EVENT_BYTES)}\n\n`;
    while (!this.isFull() && !res.destroyed) {
      res.write(event);
      await sleep(1);
    }
    res.end(LAST_EVENT);
  }
}
