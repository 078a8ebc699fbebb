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
  /** This host, at the end of its graceful stop. */
  stop: 'stop',
} as const;

/** One of {@link ENDED_BY}. */
export type EndedBy = (typeof ENDED_BY)[keyof typeof ENDED_BY];

/** What a caller received. */
export const ANSWER_END = {
  /** The complete answer of a target. */
  whole: 'whole',
  /** A status of this host: the request was refused, or it failed. */
  status: 'status',
  /** A part of an answer; the connection was reset. */
  cut: 'cut',
  /** Nothing; the caller disconnected. */
  none: 'none',
} as const;

/** One of {@link ANSWER_END}. */
export type AnswerEnd = (typeof ANSWER_END)[keyof typeof ANSWER_END];
