/** A loopback proxy that does to connections what networks do. @packageDocumentation */

import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';

const LOOPBACK = '127.0.0.1';

/** What a link does. */
export const LINK_MODE = {
  /** Passes everything on. */
  open: 'open',
  /** Resets every connection, new ones too. */
  reset: 'reset',
  /** Takes connections and bytes, and passes nothing on. */
  silent: 'silent',
  /** Passes requests on, but no answers. */
  oneWay: 'one-way',
  /** Passes everything on late. */
  slow: 'slow',
} as const;

/** One of {@link LINK_MODE}. */
export type LinkMode = (typeof LINK_MODE)[keyof typeof LINK_MODE];

/** Delay of each part of a slow link, in milliseconds. */
const SLOW_MS = 250;

/** A port that leads to another one, as long as it is open. */
export class FaultyLink {
  private mode: LinkMode = LINK_MODE.open;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** @param target - port on loopback to which it leads. */
  constructor(private readonly target: number) {
    this.server = createServer(socket => this.take(socket));
  }

  /** Port on loopback at which it listens, once it is open. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts to listen on a free port. */
  async open(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, LOOPBACK, resolve),
    );
  }

  /** Ends at once. */
  async close(): Promise<void> {
    this.cut();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** @param mode - what happens to connections from now on. */
  set(mode: LinkMode): void {
    this.mode = mode;
    // Connections that lost bytes must not go on as if nothing were.
    if (mode === LINK_MODE.reset || mode === LINK_MODE.open) this.cut();
  }

  private cut(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private take(near: Socket): void {
    if (this.mode === LINK_MODE.reset) {
      near.on('error', () => {});
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.target, LOOPBACK);
    this.join(near, far, () => this.mode === LINK_MODE.silent);
    this.join(far, near, () => {
      const {mode} = this;
      return mode === LINK_MODE.silent || mode === LINK_MODE.oneWay;
    });
  }

  private join(from: Socket, to: Socket, swallows: () => boolean): void {
    this.sockets.add(from);
    from.on('data', chunk => {
      if (swallows()) return;
      if (this.mode !== LINK_MODE.slow) to.write(chunk);
      else setTimeout(() => to.write(chunk), SLOW_MS);
    });
    from.on('end', () => to.end());
    // The other side sees the same: how it ended is what is tested.
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
