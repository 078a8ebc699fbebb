/** Decides whether an answer is whole. @packageDocumentation */

import {FRAMING} from './answer_framing.js';
import {AnswerHead} from './caller_request.js';
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
 * Decides whether the answer to a caller is whole once a send's answer has
 * ended. Where a target frames its answer by the end of the connection, HTTP
 * takes an end in order for the end of the answer, and a reset never.
 *
 * @param head - head of the send's answer.
 * @param passedHead - head that the caller has; undefined if it has none.
 * @param body - how the send's answer ended.
 */
export function isWhole(
  head: AnswerHead,
  passedHead: AnswerHead | undefined,
  body: EndedBody,
): boolean {
  if (body.end !== BODY_END.complete) return false;
  if (head.isEventStream && body.isInsideEvent) return false;
  if (head.framing !== FRAMING.close) return true;
  if (head.isEventStream && body.bytes === 0 && !body.isResumed) return false;
  // The target that began the answer would have told its end.
  return passedHead === undefined || passedHead.framing === FRAMING.close;
}
