/** Second copies of a worker's responses. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** When the second copy of a response is sent. */
export const COPY_TIME = {
  /** Right after the response. */
  early: 'early',
  /** Where the response to the next request on the connection is due. */
  late: 'late',
} as const;

/** One of {@link COPY_TIME}. */
export type CopyTime = (typeof COPY_TIME)[keyof typeof COPY_TIME];

/** Sends whole responses a second time, whatever they are. */
export class SecondCopies {
  /** Number of copies that were sent. */
  sent = 0;
  private readonly due = new Map<Socket, Buffer>();

  /** Sends the copy that is due on a connection with a new request, if any. */
  sendDue(socket: Socket): void {
    const copy = this.due.get(socket);
    if (copy === undefined) return;
    this.due.delete(socket);
    this.send(socket, copy);
  }

  /**
   * Copies a response as it is written.
   *
   * @param res - the response, of which nothing is written yet.
   * @param time - when to send the copy.
   */
  copy(res: ServerResponse, time: CopyTime): void {
    const socket = res.socket!;
    const chunks: Buffer[] = [];
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
    socket.write = ((chunk: string | Buffer, ...rest: unknown[]) => {
      const encoding = typeof rest[0] === 'string' ? rest[0] : 'utf8';
      chunks.push(Buffer.from(chunk as string, encoding as BufferEncoding));
      return write(chunk, ...rest);
    }) as Socket['write'];
    res.on('finish', () => {
      socket.write = write as Socket['write'];
      const copy = Buffer.concat(chunks);
      if (time === COPY_TIME.early) this.send(socket, copy);
      else this.due.set(socket, copy);
    });
    socket.on('close', () => this.due.delete(socket));
  }

  private send(socket: Socket, copy: Buffer): void {
    if (socket.destroyed) return;
    this.sent += 1;
    socket.write(copy);
  }
}
