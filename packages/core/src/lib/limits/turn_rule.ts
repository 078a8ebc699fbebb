/** Decides how urgent a request is and how long it may wait for its turn. @packageDocumentation */

/** Objective up to which requests of a priority are equally urgent. */
const SHORTEST_OBJECTIVE_MS = 100;

/** Factor between the shortest and the longest objective that are told apart. */
const OBJECTIVE_RANGE = 10_000;

/** Keeps every objective more urgent than the next priority. */
const MAX_OBJECTIVE_PART = 0.99;

/**
 * Fraction of the time to its objective that a request may wait for its turn.
 * The rest is left to answer it.
 */
const OBJECTIVE_FRACTION = 0.8;

/** Fraction of the time to its deadline that a request may wait for its turn. */
const DEADLINE_FRACTION = 0.5;

/**
 * The same for a caller that returned before the time that it was told. Its
 * turn is certain, and it may not return again.
 */
const RETURNED_DEADLINE_FRACTION = 0.8;

/** Times of a request that waits for its turn, in milliseconds from now. */
export interface TurnLimits {
  /** Time until the latency objective; negative once it has passed. */
  objectiveInMs: number;
  /** Time until the caller no longer waits. */
  deadlineInMs: number;
}

/**
 * Returns the urgency of a request: by priority, then by objective.
 *
 * @param priority - priority of the team or the route; 0 is the most urgent.
 * @param objectiveMs - latency objective of the route.
 * @returns a number of at least 1; lower is more urgent.
 */
export function turnUrgency(priority: number, objectiveMs: number): number {
  const factor = Math.max(1, objectiveMs / SHORTEST_OBJECTIVE_MS);
  const part = Math.log(factor) / Math.log(OBJECTIVE_RANGE);
  return 1 + priority + Math.min(MAX_OBJECTIVE_PART, part);
}

/**
 * Returns the rank of a waiting request among those of its team. It falls to 0
 * at the deadline, whatever the urgency, so that no request starves.
 *
 * @param urgency - see {@link turnUrgency}.
 * @param waitedMs - time since the arrival of the request.
 * @param totalMs - time from its arrival to its deadline.
 * @returns the rank; lower ranks go first.
 */
export function turnRank(
  urgency: number,
  waitedMs: number,
  totalMs: number,
): number {
  const share = Math.min(1, Math.max(0, waitedMs / Math.max(1, totalMs)));
  // Squared, so that a patient request yields for nearly half of its time.
  return urgency * (1 - share * share);
}

/**
 * Returns whether a request may wait for its turn.
 *
 * @param turnInMs - time until its turn.
 * @param limits - see {@link TurnLimits}.
 * @param isReturned - whether its caller returned after a refusal.
 */
export function canAwaitTurn(
  turnInMs: number,
  {objectiveInMs, deadlineInMs}: TurnLimits,
  isReturned = false,
): boolean {
  if (turnInMs >= deadlineInMs) return false;
  if (turnInMs <= objectiveInMs * OBJECTIVE_FRACTION) return true;
  const fraction = isReturned ? RETURNED_DEADLINE_FRACTION : DEADLINE_FRACTION;
  return turnInMs <= deadlineInMs * fraction;
}
