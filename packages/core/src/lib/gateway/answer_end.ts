/** How sends and the answers to callers end. @packageDocumentation */

/** What ended a send that brought no complete answer. */
export const ENDED_BY = {
  /** The target, or the connection to it. */
  target: 'target',
  /** This host, as no head of an answer arrived in time. */
  headTimeout: 'head-timeout',
  /** This host, as a stream made no progress while its target answered others. */
  stall: 'stall',
  /** This host, as nothing listens at the target's address any more. */
  targetEnded: 'target-ended',
  /** This host, as the target did not reply to several new connections. */
  targetUnreachable: 'target-unreachable',
  /** This host, as a part of the prompt was quarantined. */
  quarantine: 'quarantine',
  /** The deadline of the request. */
  deadline: 'deadline',
  /** The caller, who disconnected. */
  caller: 'caller',
  /** This host, which closed the caller's connection before the answer's turn. */
  earlierAnswer: 'earlier-answer',
  /** This host, which closed the caller's connection for another reason. */
  host: 'host',
  /** This host, at the end of its graceful stop. */
  stop: 'stop',
} as const;

/** One of {@link ENDED_BY}. */
export type EndedBy = (typeof ENDED_BY)[keyof typeof ENDED_BY];

/** What ended the connection of a caller. */
export type ConnectionEndedBy =
  typeof ENDED_BY.caller | typeof ENDED_BY.earlierAnswer | typeof ENDED_BY.host;

/**
 * Returns what ended the connection of a caller.
 *
 * @param signal - signal of the request, whose reason says it; if it says
 *     nothing, the caller did.
 */
export function connectionEndOf({reason}: AbortSignal): ConnectionEndedBy {
  if (reason === ENDED_BY.host || reason === ENDED_BY.earlierAnswer)
    return reason;
  return ENDED_BY.caller;
}

/** What a caller received. */
export const ANSWER_END = {
  /** The complete answer of a target. */
  whole: 'whole',
  /** A status of this host: the request was refused, or it failed. */
  status: 'status',
  /** A part of an answer; the connection was reset. */
  cut: 'cut',
  /** Nothing; the connection ended. */
  none: 'none',
} as const;

/** One of {@link ANSWER_END}. */
export type AnswerEnd = (typeof ANSWER_END)[keyof typeof ANSWER_END];
