/** The design size and its resource limits. @packageDocumentation */

/** Size that the users plan for the next two years. */
export const DESIGN_SIZE = {
  nodes: 330,
  zones: 22,
  hostsPerZone: 15,
  workers: 2_000,
  targetsPerZone: 91,
  requestsPerS: 6_700,
  tokensPerS: 1_500_000,
  tokenGapMs: 37,
  models: 590,
  adapters: 16_000,
  /** Fraction of the models that become active or idle within an hour. */
  changingPerHour: 0.18,
  changesPerDay: 1_100,
  failuresPerDay: 17,
  replacementsPerDay: 230,
} as const;

/** Resources that a node may use for control. */
export const CONTROL_BUDGET = {
  bytesPerS: 5_000,
  corePercent: 4.9,
  memoryMb: 32,
} as const;

/** Appends per second that the platform's log accepts over all hosts. */
export const LOG_APPENDS_PER_S = 300;
