/** Decides whether an answer may be whole. @packageDocumentation */

import {FRAMING} from './answer_framing.js';
import {AnswerHead} from './caller_request.js';
import {END_DOUBT, EndDoubt} from './end_evidence.js';
import {BODY_END, BodyEnd} from './target_port.js';

/** The body of a send's answer once no more of it follows. */
export interface EndedBody {
  end: BodyEnd;
  /** Whether it ends within an event. */
  isInsideEvent: boolean;
  bytes: number;
  /** Whether the target was told to go on after an event. */
  isResumed: boolean;
}

/**
 * Returns why the answer to a caller can't be whole once a send's answer has
 * ended. Where a target frames its answer by the end of the connection, a reset
 * is never the end of the answer, and an end in order needs evidence.
 *
 * @param head - head of the send's answer.
 * @param passedHead - head that the caller has; undefined if it has none.
 * @param body - how the send's answer ended.
 * @returns the reason; undefined if the answer may be whole.
 */
export function doubtOf(
  head: AnswerHead,
  passedHead: AnswerHead | undefined,
  body: EndedBody,
): EndDoubt | undefined {
  const hasBrokenOff = body.end !== BODY_END.complete;
  if (hasBrokenOff || (head.isEventStream && body.isInsideEvent))
    return END_DOUBT.brokenOff;
  if (head.framing !== FRAMING.close) return undefined;
  // A target that goes on with a stream may have nothing left to send.
  if (head.isEventStream && body.bytes === 0 && !body.isResumed)
    return END_DOUBT.empty;
  const isToldBefore =
    passedHead !== undefined && passedHead.framing !== FRAMING.close;
  return isToldBefore ? END_DOUBT.untold : undefined;
}
