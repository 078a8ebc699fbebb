/** Interface to observe how requests wait for tokens of their team. @packageDocumentation */

/** How the wait of a request over its team's rate ended. */
export const TURN_END = {
  granted: 'granted',
  /** Its turn comes too late to wait for it. */
  late: 'late',
  /** Its turn comes after its deadline. */
  afterDeadline: 'after-deadline',
  /** Too many requests wait on this host. */
  full: 'full',
  callerLeft: 'caller-left',
  stopping: 'stopping',
} as const;

/** One of {@link TURN_END}. */
export type TurnEnd = (typeof TURN_END)[keyof typeof TURN_END];

/** A request that was over the rate of its team. */
export interface EndedTurn {
  /** Name of the team. */
  team: string;
  tokens: number;
  end: TurnEnd;
  /** Time that the request waited. */
  waitedMs: number;
  /** Time from now to its turn; 0 if granted. */
  turnInMs: number;
  /** Whether no lender answered last. */
  isLocal: boolean;
}

/** Receives what happens to requests over the rates of their teams. */
export abstract class TurnObserver {
  /** Called when such a request no longer waits. */
  abstract turnEnded(turn: EndedTurn): void;
}

/** A {@link TurnObserver} that ignores all. */
export class SilentTurnObserver extends TurnObserver {
  override turnEnded(): void {}
}
