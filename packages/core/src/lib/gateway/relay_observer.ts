/** Interface to observe how requests are relayed. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';

/** Trace of a finished request: the data that explains how it was handled. */
export interface RequestTrace {
  id: string;
  route: string | undefined;
  kind: string | undefined;
  team: string | undefined;
  service: string | undefined;
  model: string | undefined;
  /** Targets that the request was sent to, in order. */
  targets: string[];
  /** Version of the configuration in force when the request ended. */
  configVersion: number | undefined;
  /** Age of the newest confirmation of that version. */
  configAgeMs: number;
  /** Time from arrival to the first send. */
  waitedMs: number | undefined;
  /** Time from arrival to the first byte of the answer. */
  firstByteMs: number | undefined;
  totalMs: number;
  status: number | undefined;
  outcome: Outcome;
}

/** Receives the events of relayed requests as they occur. */
export abstract class RelayObserver {
  /** Called when the head of an answer has arrived from a target. */
  abstract sendAnswered(target: string): void;

  /**
   * Called when a send has led to no complete answer.
   *
   * @param id - id of the request.
   * @param target - id of the target.
   * @param end - how the send ended.
   * @param detail - the reason or the status.
   */
  abstract sendEnded(
    id: string,
    target: string,
    end: string,
    detail: string,
  ): void;

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

  /** Called when a request has ended. */
  abstract requestEnded(trace: RequestTrace): void;
}
