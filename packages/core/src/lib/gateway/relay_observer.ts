/** Interface to observe how requests are relayed. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';
import {AnswerEnd, EndedBy} from './answer_end.js';
import {EndFinding} from './end_evidence.js';
import {CallerFraming, Framing} from './answer_framing.js';
import {TargetState} from './target_port.js';
import {SentWork} from '../work/sent_work.js';

/** Trace of a finished request: the data that explains how it was handled. */
export interface RequestTrace {
  id: string;
  route: string | undefined;
  kind: string | undefined;
  team: string | undefined;
  service: string | undefined;
  model: string | undefined;
  /** Digests of the shared parts of the prompt, and of the whole request. */
  parts: readonly string[];
  /** Targets that the request was sent to, in order. */
  targets: string[];
  /** Software versions of these targets, in the order of their first use. */
  softwareVersions: string[];
  /** Last event that the caller has, if it takes up a stream. */
  lastEventId: string | undefined;
  /** Id of the attempt that began that stream. */
  resumedId: string | undefined;
  /** Version of the configuration in force when the request ended. */
  configVersion: number | undefined;
  /** Age of the newest confirmation of that version. */
  configAgeMs: number;
  /** Time from arrival to the first send. */
  waitedMs: number | undefined;
  /** Time from arrival to the first byte of the answer. */
  firstByteMs: number | undefined;
  /** The last send, if its service has a model of work. */
  work?: Pick<SentWork, 'prediction' | 'firstEventMs'>;
  totalMs: number;
  status: number | undefined;
  /** Connection of the last answer of a target, and what delimited its body. */
  connection: string | undefined;
  framing: Framing | undefined;
  /** How the caller was told the end of the answer. */
  callerFraming: CallerFraming | undefined;
  /** What is known of the end of that answer; undefined if it has not ended. */
  endFinding: EndFinding | undefined;
  /** Bytes of the body that were passed on, and how many sends they are from. */
  bodyBytes: number;
  answerSends: number;
  outcome: Outcome;
  /** What the caller received. */
  answer: AnswerEnd;
  /** What ended the last send, unless it brought a complete answer. */
  endedBy: EndedBy | undefined;
}

/** A send that has led to no complete answer. */
export interface EndedSend {
  /** Id of the request. */
  id: string;
  /** Id of the target. */
  target: string;
  /** How the send ended. */
  end: string;
  /** What ended it. */
  endedBy: EndedBy;
  /** The reason or the status. */
  detail: string;
  /** Time from the start of the send to its end. */
  ageMs: number;
  /** Bytes of the body that the target returned. */
  receivedBytes: number;
  /** Digests of the shared parts of the prompt, and of the whole request. */
  parts: readonly string[];
  /** The connection that was used, and which of its requests this one was. */
  connection?: string;
}

/** A check of a target because one of its runs makes no progress. */
export interface StalledRun {
  /** Id of the request. */
  id: string;
  /** Id of the target. */
  target: string;
  /** What the check showed. */
  state: TargetState;
  /** Time since the start of the send. */
  ageMs: number;
  /** Bytes of the body that the target has returned. */
  receivedBytes: number;
}

/** Sides that may have closed the connection to a caller. */
export const CLOSED_BY = {caller: 'caller', host: 'host'} as const;

/** One of {@link CLOSED_BY}. */
export type ClosedBy = (typeof CLOSED_BY)[keyof typeof CLOSED_BY];

/** An answer whose connection ended before all of it was handed over. */
export interface UnsentAnswer {
  /** Id of the request. */
  id: string;
  /** Bytes of the body that this host had accepted and not yet sent. */
  unsentBytes: number;
  closedBy: ClosedBy;
  /** Whether this host was stopping. */
  isStopping: boolean;
}

/** An answer of a target whose head was passed on. */
export interface BegunAnswer {
  /** Id of the request. */
  id: string;
  /** Id of the target. */
  target: string;
  connection: string;
  /** What delimits the body of the target's answer. */
  framing: Framing;
  /** How the caller is told the end of it. */
  callerFraming: CallerFraming;
}

/** The end of an answer of a target that only its connection delimits. */
export interface EndedAnswer {
  /** Id of the request. */
  id: string;
  /** Id of the target. */
  target: string;
  connection: string;
  /** What makes the answer count as complete, or does not. */
  finding: EndFinding;
  /** Time from the start of the send to the finding. */
  ageMs: number;
  /** Bytes of the body that the target has returned. */
  receivedBytes: number;
  /** Time from the last bytes to the end of the connection. */
  tailMs: number;
}

/** Bytes on a connection to a target that no request was waiting for. */
export interface SurplusBytes {
  /** Id of the target. */
  target: string;
  connection: string;
  /** Id of the request that the connection carried last. */
  afterId: string;
}

/** Receives the events of relayed requests as they occur. */
export abstract class RelayObserver {
  /** Called when the head of an answer has arrived from a target. */
  abstract sendAnswered(target: string): void;

  /**
   * Called once the answer to a caller has begun. A host that is killed while it
   * passes the answer on reports no end of it.
   */
  abstract answerBegun(answer: BegunAnswer): void;

  /** Called when an answer that only its connection delimits has ended. */
  abstract answerEnded(answer: EndedAnswer): void;

  /** Called when a send has led to no complete answer. */
  abstract sendEnded(send: EndedSend): void;

  /**
   * Called when a run makes no progress, for each state of its target that
   * checks show.
   */
  abstract runStalled(run: StalledRun): void;

  /**
   * Called when a target has asked this host to back off.
   *
   * @param target - id of the target.
   * @param forMs - for how long, in milliseconds.
   */
  abstract targetBackingOff(target: string, forMs: number): void;

  /**
   * Called when a target is avoided because of a failure.
   *
   * @param target - id of the target.
   * @param forMs - for how long, in milliseconds.
   */
  abstract targetAvoided(target: string, forMs: number): void;

  /**
   * Called when a target that was heard before refuses a connection.
   *
   * @param target - id of the target.
   * @param startedMs - start time of its registered process, Unix milliseconds.
   */
  abstract targetRefusedConnection(target: string, startedMs: number): void;

  /**
   * Called for each send to a target that has named a limit.
   *
   * @param target - id of the target.
   * @param isRepeat - whether the request was sent before.
   */
  abstract limitedSend(target: string, isRepeat: boolean): void;

  /**
   * Called when the limit of a target allows no send now.
   *
   * @param target - id of the target.
   */
  abstract sendThrottled(target: string): void;

  /**
   * Called when the connection to a caller ended before all of the answer was
   * handed over to it.
   */
  abstract answerUnsent(answer: UnsentAnswer): void;

  /** Called when a connection ended because of such bytes. */
  abstract surplusReceived(surplus: SurplusBytes): void;

  /** Called when a request has ended. */
  abstract requestEnded(trace: RequestTrace): void;
}
