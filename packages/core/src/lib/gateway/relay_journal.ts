/** One line for each request that ends. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';

/** What decided a request's way, for whoever has to explain it later. */
export interface RequestStory {
  id: string;
  route: string | undefined;
  kind: string | undefined;
  team: string | undefined;
  service: string | undefined;
  model: string | undefined;
  /** Targets to which it was sent, in order. */
  targets: string[];
  /** Version of the configuration that admitted it. */
  configVersion: number | undefined;
  /** Age of the newest confirmation of that version, in milliseconds. */
  configAgeMs: number;
  /** Time until it was first sent, in milliseconds. */
  waitedMs: number | undefined;
  /** Time until the first byte of the answer, in milliseconds. */
  firstByteMs: number | undefined;
  totalMs: number;
  status: number | undefined;
  outcome: Outcome;
}

/** What happens to requests, as it is decided. */
export abstract class RelayJournal {
  /** Notes a send that a target answered with a head to pass on or to judge. */
  abstract sendAnswered(target: string): void;

  /** Notes a send that did not lead to an answer. */
  abstract sendEnded(
    id: string,
    target: string,
    end: string,
    detail: string,
  ): void;

  /**
   * Notes that a target named a time for which it wants nothing from this host.
   *
   * @param target - id of the target.
   * @param forMs - that time, in milliseconds.
   */
  abstract targetQuiet(target: string, forMs: number): void;

  /** Notes that a target's failures make other targets go first. */
  abstract targetAvoided(target: string, forMs: number): void;

  /** Notes the end of a request. */
  abstract ended(story: RequestStory): void;
}
