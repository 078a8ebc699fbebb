/** Keeps a body in few buffers. @packageDocumentation */

/** Size of the first block: most bodies in chunks are short. */
const FIRST_BLOCK_BYTES = 4_096;
const BLOCK_BYTES = 65_536;

/** Blocks that are kept for reuse, so that they need not be collected. */
const MAX_SPARE_BLOCKS = 256;

const spareBlocks: Buffer[] = [];

/** A body of unknown length, copied from chunks of any size into blocks. */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  /** Bytes of the last block that are in use. */
  private filled = 0;
  private totalBytes = 0;

  /** Number of bytes of the body. */
  get length(): number {
    return this.totalBytes;
  }

  /**
   * Appends a copy of a chunk.
   *
   * @param chunk - the chunk.
   * @returns number of bytes by which the memory of the body has grown.
   */
  append(chunk: Buffer): number {
    let grown = 0;
    let taken = 0;
    while (taken < chunk.length) {
      let last = this.blocks.at(-1);
      if (last === undefined || this.filled === last.length) {
        last = this.addBlock();
        grown += last.length;
      }
      const copied = chunk.copy(last, this.filled, taken);
      this.filled += copied;
      taken += copied;
    }
    this.totalBytes += chunk.length;
    return grown;
  }

  /** Returns the whole body; the buffer is empty afterwards. */
  take(): Buffer {
    const body = Buffer.concat(this.blocks, this.totalBytes);
    this.clear();
    return body;
  }

  /** Discards the body. */
  clear(): void {
    for (const block of this.blocks)
      if (block.length === BLOCK_BYTES && spareBlocks.length < MAX_SPARE_BLOCKS)
        spareBlocks.push(block);
    this.blocks.length = 0;
    this.filled = 0;
    this.totalBytes = 0;
  }

  private addBlock(): Buffer {
    const block =
      this.blocks.length === 0
        ? Buffer.allocUnsafeSlow(FIRST_BLOCK_BYTES)
        : (spareBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES));
    this.blocks.push(block);
    this.filled = 0;
    return block;
  }
}
