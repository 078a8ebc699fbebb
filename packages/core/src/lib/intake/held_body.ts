/** Holds the body of an answer until all of it is known. @packageDocumentation */

import {BodyBuffer} from './body_buffer.js';
import {MemoryAccount, MemoryHolding} from './memory_account.js';

/** A body of unknown length, counted in the account of its process. */
export class HeldBody {
  private readonly buffer = new BodyBuffer();
  private readonly holding: MemoryHolding;
  private isDiscarded = false;
  private resume = () => {};

  /**
   * @param account - counts the bytes.
   * @param onEvicted - called if the account needs the memory; the body is lost
   *     then.
   */
  constructor(account: MemoryAccount, onEvicted: () => void) {
    this.holding = account.open({
      isFavored: true,
      evict: () => {
        onEvicted();
        this.discard();
      },
      resume: () => this.resume(),
    });
  }

  /**
   * Appends a chunk.
   *
   * @param chunk - the chunk, which is copied.
   * @returns undefined, or a promise to await before the next chunk.
   */
  append(chunk: Buffer): Promise<void> | undefined {
    if (this.isDiscarded) return undefined;
    this.holding.recordMoved(chunk.length);
    const grown = this.buffer.append(chunk);
    if (grown === 0 || this.holding.grow(grown)) return undefined;
    return new Promise(resolve => (this.resume = resolve));
  }

  /** Returns the whole body; nothing is held afterwards. */
  take(): Buffer {
    const body = this.buffer.take();
    this.discard();
    return body;
  }

  /** Gives the memory back; what is appended later is lost. */
  discard(): void {
    this.isDiscarded = true;
    this.buffer.clear();
    this.holding.close();
    this.resume();
  }
}
