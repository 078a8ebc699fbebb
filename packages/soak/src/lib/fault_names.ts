/** Names the kinds of faults and the series that choose from them. @packageDocumentation */

/** Kinds of faults. */
export const FAULT = {
  pause: 'pause',
  kill: 'kill',
  killAll: 'killAll',
  term: 'term',
  hup: 'hup',
  storeLink: 'storeLink',
  storeDown: 'storeDown',
  storeLate: 'storeLate',
  storeLoses: 'storeLoses',
  workerLink: 'workerLink',
  oddAnswers: 'oddAnswers',
  withdraw: 'withdraw',
  drain: 'drain',
  silence: 'silence',
  publish: 'publish',
  changeVersion: 'changeVersion',
  crashRequest: 'crashRequest',
  secondCopies: 'secondCopies',
  oddEntries: 'oddEntries',
  breakLarge: 'breakLarge',
  breakStreams: 'breakStreams',
  olderStore: 'olderStore',
} as const;

/** One of {@link FAULT}. */
export type FaultName = (typeof FAULT)[keyof typeof FAULT];

/** Kinds of faults that the first regression seeds chose from, in this order. */
export const FIRST_FAULTS: readonly FaultName[] = [
  FAULT.pause,
  FAULT.kill,
  FAULT.killAll,
  FAULT.term,
  FAULT.hup,
  FAULT.storeLink,
  FAULT.storeDown,
  FAULT.storeLate,
  FAULT.storeLoses,
  FAULT.workerLink,
  FAULT.oddAnswers,
  FAULT.withdraw,
  FAULT.drain,
];

/** Planned work, and what sound workers do: it excuses no lost request. */
export const PLANNED_FAULTS: readonly FaultName[] = [
  FAULT.term,
  FAULT.hup,
  FAULT.withdraw,
  FAULT.drain,
  FAULT.silence,
  FAULT.silence,
  FAULT.publish,
  FAULT.publish,
];

/** Answers of which a part has been passed on when they break off. */
export const BREAKS: readonly FaultName[] = [
  FAULT.breakLarge,
  FAULT.breakStreams,
];

/**
 * A store that comes back from an older copy, beside faults of hosts, of their
 * links to the store and of appends.
 */
export const OLDER_STORE_FAULTS: readonly FaultName[] = [
  FAULT.olderStore,
  FAULT.pause,
  FAULT.kill,
  FAULT.term,
  FAULT.storeLink,
  FAULT.storeLate,
  FAULT.storeLoses,
];
