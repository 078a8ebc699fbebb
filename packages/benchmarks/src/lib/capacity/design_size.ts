/** The size to design for. @packageDocumentation */

/** What the users plan for the next two years. */
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
  /** Part of the models that wake up or fall idle within an hour. */
  changingPerHour: 0.18,
  changesPerDay: 1_100,
  failuresPerDay: 17,
  replacementsPerDay: 230,
} as const;

/** What a node may spend on control. */
export const CONTROL_BUDGET = {
  bytesPerS: 5_000,
  corePercent: 4.9,
  memoryMb: 32,
} as const;

/** Appends a second that the platform's log takes for everyone. */
export const LOG_APPENDS_PER_S = 300;
