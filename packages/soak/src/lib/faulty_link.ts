/** A loopback TCP proxy that simulates network faults. @packageDocumentation */

import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const LOOPBACK = '127.0.0.1';

/** Behaviors of a link. */
export const LINK_MODE = {
  /** Forwards all data. */
  open: 'open',
  /** Resets every connection, including new ones. */
  reset: 'reset',
  /** Accepts connections and data, but forwards nothing. */
  silent: 'silent',
  /** Forwards requests, but no responses. */
  oneWay: 'one-way',
  /** Forwards all data with a delay. */
  slow: 'slow',
} as const;

/** One of {@link LINK_MODE}. */
export type LinkMode = (typeof LINK_MODE)[keyof typeof LINK_MODE];

/** Delay of each chunk on a slow link, in milliseconds. */
const SLOW_MS = 250;

/** Forwards connections to a loopback port, with the faults of its mode. */
export class FaultyLink {
  private mode: LinkMode = LINK_MODE.open;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private suspendedPort = 0;

  /** @param target - loopback port to forward to. */
  constructor(private readonly target: number) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Loopback port that the link listens on, once it was opened. */
  get port(): number {
    const address = this.server.address() as AddressInfo | null;
    return address?.port ?? this.suspendedPort;
  }

  /** Starts listening on a free port. */
  async open(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, LOOPBACK, resolve),
    );
  }

  /** Resets all connections and refuses new ones until {@link resume}. */
  suspend(): void {
    this.suspendedPort = this.port;
    this.cut();
    this.server.close();
  }

  /** Accepts connections again, at the same port. */
  resume(): void {
    this.server.listen(this.suspendedPort, LOOPBACK);
  }

  /** Resets all connections and stops listening. */
  async close(): Promise<void> {
    this.cut();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** @param mode - behavior for current and new connections. */
  setMode(mode: LinkMode): void {
    this.mode = mode;
    // A connection on which bytes were dropped must not continue.
    if (mode === LINK_MODE.reset || mode === LINK_MODE.open) this.cut();
  }

  private cut(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private accept(near: Socket): void {
    if (this.mode === LINK_MODE.reset) {
      near.on('error', () => {});
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.target, LOOPBACK);
    this.forward(near, far, () => this.mode === LINK_MODE.silent);
    this.forward(far, near, () => {
      const {mode} = this;
      return mode === LINK_MODE.silent || mode === LINK_MODE.oneWay;
    });
  }

  private forward(from: Socket, to: Socket, shouldDrop: () => boolean): void {
    let hasDropped = false;
    let last = Promise.resolve();
    // Data and its end keep their order, however the mode changes.
    const pass = (callback: () => void) => {
      const delayMs = this.mode === LINK_MODE.slow ? SLOW_MS : 0;
      const dueMs = performance.now() + delayMs;
      last = last.then(async () => {
        const leftMs = dueMs - performance.now();
        if (leftMs > 0) await sleep(leftMs);
        callback();
      });
    };
    this.sockets.add(from);
    from.on('data', chunk => {
      if (shouldDrop()) hasDropped = true;
      else pass(() => to.write(chunk));
    });
    from.on('end', () => {
      // An orderly end would make an answer without a length look complete.
      if (hasDropped) to.resetAndDestroy();
      else pass(() => to.end());
    });
    // Resets the other side too, since tests depend on how a connection ends.
    from.on('error', () => to.resetAndDestroy());
    from.on('close', hadError => {
      this.sockets.delete(from);
      if (hadError) to.destroy();
      else pass(() => to.destroySoon());
    });
  }
}
