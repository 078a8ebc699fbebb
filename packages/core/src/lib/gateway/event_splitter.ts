/** Splits an event stream at event boundaries. @packageDocumentation */

/** Maximum size of an event; a faulty target may send one that never ends. */
const MAX_EVENT_BYTES = 256 * 1_024;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/**
 * Forwards only whole events, so that a stream that breaks off within an event
 * can be continued on another target without the caller receiving half of it.
 */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);
  private newestId: string | undefined;

  /** Id of the last whole event that had an id. */
  get lastId(): string | undefined {
    return this.newestId;
  }

  /** Whether a partial event is buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Whether the partial event already exceeds the maximum size of an event. */
  get isTooLong(): boolean {
    return this.partialEvent.length > MAX_EVENT_BYTES;
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - the bytes.
   * @returns the bytes of all events that are now whole; may be empty.
   */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const end = endOfEvents(bytes);
    const wholeEvents = bytes.subarray(0, end);
    this.partialEvent = bytes.subarray(end);
    if (end > 0) this.updateLastId(wholeEvents);
    return wholeEvents;
  }

  /**
   * Takes the buffered bytes out, once the stream is known to be complete.
   *
   * @returns the bytes.
   */
  flush(): Buffer {
    const {partialEvent: bytes} = this;
    this.partialEvent = Buffer.alloc(0);
    return bytes;
  }

  /**
   * Discards the partial event; another target continues the stream after the
   * last whole one.
   */
  discardPartialEvent(): void {
    this.partialEvent = Buffer.alloc(0);
  }

  private updateLastId(events: Buffer): void {
    const text = events.toString('latin1');
    const start = text.lastIndexOf('\nid:');
    const from = start >= 0 ? start + 1 : 0;
    const match = ID_FIELD.exec(text.slice(from));
    if (match !== null) this.newestId = match[1].replace(/\r$/, '');
  }
}

/**
 * Finds the end of the last whole event.
 *
 * @returns the index after the last blank line, or 0 if there is none.
 */
function endOfEvents(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i--) {
    if (bytes[i] !== NEWLINE) continue;
    const previous = bytes[i - 1];
    if (previous === NEWLINE) return i + 1;
    const isBlankCrLf = previous === CARRIAGE_RETURN && i > 1;
    if (isBlankCrLf && bytes[i - 2] === NEWLINE) return i + 1;
  }
  return 0;
}
