/** A loopback TCP proxy that can go dark. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {Worker} from 'node:worker_threads';

const LOOPBACK = '127.0.0.1';

/** Connections that fill the queue of those not accepted yet. */
const FILLER_COUNT = 20;

/** Time for the thread to block and for the queue to fill, in milliseconds. */
const SETTLE_MS = 30;

/**
 * Forwards connections to a port. Once dark, it forwards nothing on any
 * connection, and new connections are not established, but not refused either.
 */
export class DarkLink {
  private readonly fillers: Socket[] = [];

  private constructor(
    private readonly thread: Worker,
    /** Loopback port that the link listens on. */
    readonly port: number,
  ) {}

  /**
   * @param target - loopback port to forward to.
   * @returns an open link.
   */
  static async open(target: number): Promise<DarkLink> {
    const gate = new Int32Array(new SharedArrayBuffer(4));
    const file = new URL('./dark_link_thread.js', import.meta.url);
    const thread = new Worker(file, {workerData: {target, gate}});
    const port = await new Promise<number>((resolve, reject) => {
      thread.once('message', resolve);
      thread.once('error', reject);
    });
    return new DarkLink(thread, port);
  }

  /** Goes dark for good. */
  async goDark(): Promise<void> {
    this.thread.postMessage('block');
    await pause(SETTLE_MS);
    for (let i = 0; i < FILLER_COUNT; i++) {
      const filler = connect(this.port, LOOPBACK);
      filler.on('error', () => {});
      this.fillers.push(filler);
    }
    await pause(SETTLE_MS);
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    for (const filler of this.fillers) filler.destroy();
    await this.thread.terminate();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
