/** Traces of requests that have ended. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {ANSWER_END, AnswerEnd} from './answer_end.js';
import {CallerRequest} from './caller_request.js';
import {DeploymentState} from './deployment_state.js';
import {Freshness} from './freshness.js';
import {RelayCall} from './relay_call.js';
import {RequestTrace} from './relay_observer.js';

/** Dependencies of {@link traceRequest}. */
export interface TraceParts {
  clock: Clock;
  state: DeploymentState;
  freshness: Freshness;
}

/**
 * Describes how a request was handled.
 *
 * @param parts - see {@link TraceParts}.
 * @param req - the request.
 * @param call - its progress; undefined if it was not admitted.
 * @param outcome - how it ended.
 * @returns the trace.
 */
export function traceRequest<Req extends CallerRequest>(
  {clock, freshness, state}: TraceParts,
  req: Req,
  call: RelayCall<Req> | undefined,
  outcome: Outcome,
): RequestTrace {
  const hasEndedSend = outcome.type !== 'served' && (call?.sends ?? 0) > 0;
  const hasEnd = hasEndedSend || outcome.type === 'cancelled';
  return {
    id: req.id,
    route: call?.route.name,
    kind: call?.route.kind,
    team: call?.team?.name,
    service: call?.service,
    model: req.demand?.model,
    parts: call?.parts ?? [],
    targets: call?.sentTo ?? [],
    softwareVersions: [...(call?.softwareVersions ?? [])],
    lastEventId: req.lastEventId,
    resumedId: req.resumedId,
    configVersion: state.current?.deployment.version,
    configAgeMs: Math.round(freshness.ageMs),
    waitedMs: call?.firstSendMs,
    firstByteMs: call?.firstByteMs,
    work: call?.work,
    totalMs: Math.round(clock.now() - req.arrivedMs),
    status: call?.answer.head?.status,
    connection: call?.connection,
    framing: call?.framing,
    callerFraming: call?.answer.framing,
    endFinding: call?.endFinding,
    bodyBytes: call?.answer.bytes ?? 0,
    answerSends: call?.answer.sends ?? 0,
    outcome,
    answer: answerEndOf(call?.isHeadSent ?? false, outcome),
    endedBy: hasEnd ? call?.endedBy : undefined,
  };
}

function answerEndOf(isHeadSent: boolean, outcome: Outcome): AnswerEnd {
  if (outcome.type === 'served') return ANSWER_END.whole;
  if (isHeadSent) return ANSWER_END.cut;
  return outcome.type === 'cancelled' ? ANSWER_END.none : ANSWER_END.status;
}
