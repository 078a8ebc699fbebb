/** Tells whether an event stream ends at an event boundary. @packageDocumentation */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Follows the bytes of an event stream without keeping them. */
export class EventBoundary {
  private isLineEmpty = true;
  private isWithinEvent = false;

  /** Whether the stream would break off within an event if it ended now. */
  get isInsideEvent(): boolean {
    return this.isWithinEvent;
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - the bytes.
   */
  push(chunk: Buffer): void {
    // Only the bytes after the last newline but one decide.
    const lastLine = chunk.lastIndexOf(NEWLINE, -2) + 1;
    if (lastLine > 0) {
      this.isLineEmpty = true;
      this.isWithinEvent = true;
    }
    for (const byte of chunk.subarray(lastLine)) this.pushByte(byte);
  }

  private pushByte(byte: number): void {
    if (byte === NEWLINE) {
      this.isWithinEvent = !this.isLineEmpty;
      this.isLineEmpty = true;
      return;
    }
    if (byte !== CARRIAGE_RETURN) this.isLineEmpty = false;
    if (!this.isLineEmpty) this.isWithinEvent = true;
  }
}
