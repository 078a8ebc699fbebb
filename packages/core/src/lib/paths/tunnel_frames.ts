/** Frames in which a helper host passes the bytes of a target on. @packageDocumentation */

/** A frame begins with the length of its content, as an unsigned integer. */
const LENGTH_BYTES = 4;

const BITS_PER_BYTE = 8;

/**
 * Follows the last byte of a target that has closed its connection in order. The
 * operating system closes the connections of a killed helper host in order too,
 * so that the end of a connection alone does not show that an answer is complete.
 */
export const END_FRAME = frameHeader(0);

/**
 * Returns what precedes bytes of a target.
 *
 * @param length - number of the bytes.
 */
export function frameHeader(length: number): Buffer {
  const header = Buffer.allocUnsafe(LENGTH_BYTES);
  header.writeUInt32BE(length);
  return header;
}

/** Takes the bytes of a target out of their frames. */
export class FrameDecoder {
  private length = 0;
  private lengthBytes = 0;
  private contentLeft = 0;
  private hasReadEnd = false;

  /** Whether the target has closed its connection in order. */
  get hasEnded(): boolean {
    return this.hasReadEnd;
  }

  /**
   * Reads a part of the frames.
   *
   * @param bytes - the part, of any length; bytes after the end are dropped.
   * @returns the bytes of the target in it.
   */
  decode(bytes: Buffer): Buffer[] {
    const contents: Buffer[] = [];
    let position = 0;
    while (position < bytes.length && !this.hasReadEnd) {
      if (this.contentLeft === 0) {
        this.readLengthByte(bytes[position]);
        position += 1;
        continue;
      }
      const content = bytes.subarray(position, position + this.contentLeft);
      contents.push(content);
      position += content.length;
      this.contentLeft -= content.length;
    }
    return contents;
  }

  private readLengthByte(byte: number): void {
    this.length = this.length * (1 << BITS_PER_BYTE) + byte;
    this.lengthBytes += 1;
    if (this.lengthBytes < LENGTH_BYTES) return;
    this.contentLeft = this.length;
    this.hasReadEnd = this.length === 0;
    this.length = 0;
    this.lengthBytes = 0;
  }
}
