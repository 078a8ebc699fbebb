/** The answer of targets as it is passed on to a caller. @packageDocumentation */

import {CallerFraming} from './answer_framing.js';
import {AnswerHead, CallerRequest} from './caller_request.js';

const OK = 200;

/**
 * Writes the answer to one request, and counts what it is made of.
 *
 * An answer belongs to one send. Only events may follow from another one: a
 * target can go on after an event that it is told, and the caller can tell
 * events apart, while any other body is what one run has made.
 */
export class PassedAnswer {
  private begunHead: AnswerHead | undefined;
  private callerFraming: CallerFraming | undefined;
  private isNewSend = false;
  private byteCount = 0;
  private sendCount = 0;

  /**
   * @param req - the request to answer.
   * @param isResumable - whether another target can go on with its events.
   */
  constructor(
    private readonly req: CallerRequest,
    private readonly isResumable: boolean,
  ) {}

  /** Head that was passed on; undefined before. */
  get head(): AnswerHead | undefined {
    return this.begunHead;
  }

  /** How the caller is told its end; undefined before the head was passed on. */
  get framing(): CallerFraming | undefined {
    return this.callerFraming;
  }

  /** Whether another send may bring the answer, or the rest of it. */
  get canContinue(): boolean {
    if (this.begunHead === undefined) return true;
    return this.isResumable && isEvents(this.begunHead);
  }

  /**
   * Returns whether an answer may be passed on here.
   *
   * @param head - its head.
   */
  canContinueWith(head: AnswerHead): boolean {
    if (this.begunHead === undefined) return true;
    return this.canContinue && isEvents(head);
  }

  /** Number of bytes of the body that were passed on. */
  get bytes(): number {
    return this.byteCount;
  }

  /** Number of sends that the head and these bytes come from. */
  get sends(): number {
    return this.sendCount;
  }

  /**
   * Begins the answer with that of a send, or goes on with it.
   *
   * @param head - head of the send's answer; passed on if it is the first one.
   * @throws if an answer has begun that this one can't follow.
   */
  open(head: AnswerHead): void {
    if (!this.canContinueWith(head))
      throw new Error('an answer cannot follow the answer to another send');
    this.isNewSend = true;
    if (this.begunHead !== undefined) return;
    this.begunHead = head;
    this.callerFraming = this.req.framingFor(head);
    this.sendCount = 1;
    this.isNewSend = false;
    this.req.writeHead(head);
  }

  /**
   * Passes on a part of the body.
   *
   * @returns see {@link CallerRequest.write}.
   */
  write(chunk: Buffer): Promise<void> | undefined {
    if (this.isNewSend) this.sendCount += 1;
    this.isNewSend = false;
    this.byteCount += chunk.length;
    return this.req.write(chunk);
  }

  /** Ends the complete answer. */
  end(): void {
    this.req.end();
  }
}

function isEvents({isEventStream, status}: AnswerHead): boolean {
  return isEventStream && status === OK;
}
