/** Keeps what has arrived of a body that is not read yet. @packageDocumentation */

import {BodyBuffer} from './body_buffer.js';
import {CallerMessage} from './caller_message.js';
import {MemoryAccount, MemoryHolding} from './memory_account.js';
import {readTurns} from './read_turns.js';

/**
 * Takes up what the parser has read of a request before anyone reads its body. A
 * stream would keep each chunk as an object of its own.
 */
export class EarlyBody {
  private readonly buffer = new BodyBuffer();

  private readonly holding: MemoryHolding;

  /**
   * @param req - the request, whose connection is held.
   * @param account - counts the bytes.
   * @param onEvicted - called if the account needs the memory.
   */
  constructor(
    private readonly req: CallerMessage,
    account: MemoryAccount,
    onEvicted: () => void,
  ) {
    this.holding = account.open({
      isFavored: false,
      evict: onEvicted,
      resume: () => {},
    });
    req.consume(chunk => this.append(chunk));
  }

  /** Returns what has arrived, and leaves the rest to another reader. */
  take(): Buffer {
    this.req.stopConsuming();
    this.holding.close();
    return this.buffer.take();
  }

  private append(chunk: Buffer): void {
    readTurns.recordChunk(this.req.socket, chunk.length);
    this.holding.add(this.buffer.append(chunk));
  }
}
