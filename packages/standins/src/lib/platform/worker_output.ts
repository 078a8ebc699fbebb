/** Controls when a worker's bytes leave it. @packageDocumentation */

import {Socket} from 'node:net';

type WriteEnd = (err?: Error | null) => void;

/**
 * Holds back everything that a worker writes while it is silent, and writes it
 * in order afterwards. Connections stay open, and new ones are accepted.
 */
export class WorkerOutput {
  private readonly lost = new WeakSet<Socket>();
  private silentUntilMs = -Infinity;
  private opening: Promise<void> | undefined;

  /** Whether the worker is silent now. */
  get isSilent(): boolean {
    return performance.now() < this.silentUntilMs;
  }

  /**
   * Holds everything back from now on. Overlapping silences end with the last.
   *
   * @param forMs - duration in milliseconds.
   */
  silence(forMs: number): void {
    const untilMs = performance.now() + forMs;
    this.silentUntilMs = Math.max(this.silentUntilMs, untilMs);
  }

  /** Resolves once the worker is not silent. */
  async opened(): Promise<void> {
    if (!this.isSilent) return;
    this.opening ??= this.waitUntilOpen();
    await this.opening;
  }

  /** Drops whatever is written to a connection from now on. */
  lose(socket: Socket): void {
    this.lost.add(socket);
  }

  /** Whether {@link lose} was called for a connection. */
  isLost(socket: Socket): boolean {
    return this.lost.has(socket);
  }

  /** Puts a new connection under this control. */
  attach(socket: Socket): void {
    const write = socket._write.bind(socket);
    const writev = socket._writev!.bind(socket);
    socket._write = (chunk, encoding, end) =>
      this.pass(socket, end, () => write(chunk, encoding, end));
    socket._writev = (chunks, end) =>
      this.pass(socket, end, () => writev(chunks, end));
  }

  private pass(socket: Socket, end: WriteEnd, write: () => void): void {
    if (this.isLost(socket)) end();
    else if (this.isSilent)
      void this.opened().then(() => this.pass(socket, end, write));
    else if (socket.destroyed) end();
    else write();
  }

  private async waitUntilOpen(): Promise<void> {
    while (this.isSilent) {
      const leftMs = this.silentUntilMs - performance.now();
      await new Promise(resolve => setTimeout(resolve, Math.ceil(leftMs)));
    }
    this.opening = undefined;
  }
}
