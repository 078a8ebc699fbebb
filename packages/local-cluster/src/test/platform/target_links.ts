/** Loopback TCP proxies to targets that can be cut. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';

const LOOPBACK = '127.0.0.1';

/** Connections to each port that fill the queue of those not accepted yet. */
const FILLER_COUNT = 20;

/** Time for the thread to block and for the queues to fill, in milliseconds. */
const SETTLE_MS = 30;

/** What happens to connections while links are cut. */
export const LINK_CUT = {
  /** Open ones fall silent; new ones are neither established nor refused. */
  hang: 'hang',
  /** Open ones are reset; new ones are refused. */
  reset: 'reset',
  /** Open ones live on; new ones are refused. */
  refuse: 'refuse',
} as const;

/** One of {@link LINK_CUT}. */
export type LinkCut = (typeof LINK_CUT)[keyof typeof LINK_CUT];

/** State of a {@link TargetLinks}. */
export type LinkState = LinkCut | 'open' | 'closed';

/** What the threads of a {@link TargetLinks} share, by index. */
export const SHARED = {isBlocked: 0, requestCount: 1} as const;

/** Input of the thread of a {@link TargetLinks}. */
export interface LinkThreadData {
  /** Loopback ports to forward to. */
  targets: readonly number[];
  /** See {@link SHARED}. */
  shared: Int32Array;
}

/** Forwards connections to loopback ports, one link for each. */
export class TargetLinks {
  private fillers: Socket[] = [];

  private constructor(
    private readonly thread: Worker,
    private readonly shared: Int32Array,
    private readonly ports: ReadonlyMap<number, number>,
  ) {}

  /**
   * @param targets - loopback ports to forward to.
   * @returns open links.
   */
  static async open(targets: readonly number[]): Promise<TargetLinks> {
    const shared = new Int32Array(new SharedArrayBuffer(8));
    const workerData: LinkThreadData = {targets, shared};
    const file = new URL('./target_links_thread.js', import.meta.url);
    const thread = new Worker(file, {workerData});
    const ports = await nextMessage<number[]>(thread);
    const byTarget = new Map(targets.map((target, i) => [target, ports[i]]));
    return new TargetLinks(thread, shared, byTarget);
  }

  /** Number of callers' requests that were forwarded. */
  get requestCount(): number {
    return Atomics.load(this.shared, SHARED.requestCount);
  }

  /** Returns the loopback port of the link to a target. */
  portTo(target: number): number {
    return this.ports.get(target)!;
  }

  /** Returns the address of the link to a target, for its registered address. */
  addressTo(target: string): string {
    const port = Number(target.slice(target.lastIndexOf(':') + 1));
    return `${LOOPBACK}:${this.portTo(port)}`;
  }

  /** Cuts open links. */
  async cut(how: LinkCut): Promise<void> {
    if (how === LINK_CUT.hang) Atomics.store(this.shared, SHARED.isBlocked, 1);
    await this.setState(how);
    if (how !== LINK_CUT.hang) return;
    await sleep(SETTLE_MS);
    for (const port of this.ports.values()) this.fillQueue(port);
    await sleep(SETTLE_MS);
  }

  /** Ends the cut; connections that hung go on. */
  async restore(): Promise<void> {
    this.unblock();
    await this.setState('open');
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    const hasExited = new Promise(resolve => this.thread.once('exit', resolve));
    this.unblock();
    this.thread.postMessage('closed');
    await hasExited;
  }

  private unblock(): void {
    for (const filler of this.fillers.splice(0)) filler.destroy();
    Atomics.store(this.shared, SHARED.isBlocked, 0);
    Atomics.notify(this.shared, SHARED.isBlocked);
  }

  private async setState(state: LinkState): Promise<void> {
    const isSet = nextMessage(this.thread);
    this.thread.postMessage(state);
    await isSet;
  }

  private fillQueue(port: number): void {
    for (let i = 0; i < FILLER_COUNT; i++) {
      const filler = connect(port, LOOPBACK);
      filler.on('error', () => {});
      this.fillers.push(filler);
    }
  }
}

function nextMessage<T>(thread: Worker): Promise<T> {
  return new Promise((resolve, reject) => {
    thread.once('message', resolve);
    thread.once('error', reject);
  });
}
