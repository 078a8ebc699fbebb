/** The answer of targets as it is passed on to a caller. @packageDocumentation */

import {AnswerHead, CallerRequest} from './caller_request.js';

/** Writes the answer to one request, and counts what it is made of. */
export class PassedAnswer {
  private begunHead: AnswerHead | undefined;
  private isNewSend = false;
  private byteCount = 0;
  private sendCount = 0;

  /** @param req - the request to answer. */
  constructor(private readonly req: CallerRequest) {}

  /** Head that was passed on; undefined before. */
  get head(): AnswerHead | undefined {
    return this.begunHead;
  }

  /** Number of bytes of the body that were passed on. */
  get bytes(): number {
    return this.byteCount;
  }

  /** Number of sends whose answers these bytes come from. */
  get sends(): number {
    return this.sendCount;
  }

  /**
   * Begins the answer with that of a send, or goes on with it.
   *
   * @param head - head of the send's answer; passed on if it is the first one.
   */
  open(head: AnswerHead): void {
    this.isNewSend = true;
    if (this.begunHead !== undefined) return;
    this.begunHead = head;
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
