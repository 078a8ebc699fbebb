/** Decides whether a connection of a caller is read. @packageDocumentation */

import {Socket} from 'node:net';

/**
 * Owns whether the operating system's handle of a connection is read. Nothing
 * else in the process pauses or resumes the connection, except Node's HTTP
 * server.
 *
 * Node starts the handle in a tick of its own after `resume()`, whatever was
 * called in between, and only a `pause()` of a flowing stream stops it. A stream
 * that was resumed and paused within one tick is therefore paused, and read all
 * the same. The event `resume` tells when the handle has been started; it is
 * stopped there if it must not be read.
 */
export class ConnectionReads {
  private static readonly known = new WeakMap<Socket, ConnectionReads>();
  private readonly holders = new Set<object>();
  private wasPaused = false;

  private constructor(private readonly socket: Socket) {
    // Node's listener, which starts the handle, is between these two.
    socket.prependListener(
      'resume',
      () => (this.wasPaused = socket.isPaused()),
    );
    socket.on('resume', () => this.onStarted());
  }

  /** Returns the owner of a connection of an HTTP server. */
  static of(socket: Socket): ConnectionReads {
    let reads = ConnectionReads.known.get(socket);
    if (reads === undefined) {
      reads = new ConnectionReads(socket);
      ConnectionReads.known.set(socket, reads);
    }
    return reads;
  }

  /** Whether the connection must not be read. */
  get isHeld(): boolean {
    return this.holders.size > 0;
  }

  /**
   * Stops to read the connection. What the handle has read before still arrives.
   *
   * @param holder - what holds it; the connection is read again once each holder
   *     has released it.
   */
  hold(holder: object): void {
    this.holders.add(holder);
    if (this.holders.size === 1) this.socket.pause();
  }

  /** Ends a hold; has no effect without one. */
  release(holder: object): void {
    if (this.holders.delete(holder) && this.holders.size === 0)
      this.socket.resume();
  }

  private onStarted(): void {
    const {socket} = this;
    // Once the stream flows, which the next event tells, it can be paused.
    if (this.wasPaused) socket.resume();
    else if (this.isHeld) socket.pause();
  }
}
