/** The users' sizes and the cases of the limits benchmark. @packageDocumentation */

/** A team and what it may spend. */
export interface BenchTeam {
  name: string;
  /** Tokens per second. */
  rate: number;
  /** Tokens. */
  burst: number;
}

/** One of the users. */
export interface BenchUser {
  name: string;
  /** Number of entry hosts by zone. */
  hosts: Readonly<Record<string, number>>;
  teams: readonly BenchTeam[];
  /** Batch slots of each zone's targets. */
  slotsPerZone: number;
}

/** What happens in a run. */
export interface Scenario {
  name: string;
  /** Offered load of each team, as a part of its rate. */
  load: number;
  /** The largest team offers this many times its rate instead. */
  greedy?: number;
  /** Which hosts the greedy team uses. */
  greedyAt?: 'all' | 'one' | 'moving';
  /** Whether one zone is cut off in the middle of the run. */
  cutsZone?: boolean;
  /** Whether one host dies in the middle of the run. */
  killsHost?: boolean;
  /** Whether the log is down, so that no change of members is learnt. */
  logDown?: boolean;
  /** Whether requests also pass the queue for slots. */
  queued?: boolean;
}

/** Burst of each team, in seconds of its rate. */
const BURST_S = 10;

/** Uneven parts of the teams, a few of them large. */
const TEAM_PARTS = [0.4, 0.3, 0.15, 0.1, 0.05];

function teamsOf(names: readonly string[], tokensPerSecond: number) {
  return names.map((name, index) => {
    const rate = tokensPerSecond * TEAM_PARTS[index];
    return {name, rate, burst: rate * BURST_S};
  });
}

/** Both users as they are today. */
export const BENCH_USERS: readonly BenchUser[] = [
  {
    name: 'saurashtra',
    hosts: {ahmedabad: 2, rajkot: 2, vadodara: 2, surat: 2},
    teams: teamsOf(
      ['inspectors', 'franchisees', 'registry', 'auditors', 'training'],
      6_000,
    ),
    slotsPerZone: 24,
  },
  {
    name: 'upplysingavefur',
    hosts: {'hfj-a': 2, 'hfj-b': 2, 'kef-a': 2, 'rvk-a': 1},
    teams: teamsOf(
      ['newsrooms', 'lawyers', 'citizens', 'summaries', 'trial'],
      5_000,
    ),
    slotsPerZone: 24,
  },
];

/** Every case, in the order in which they run. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'healthy', load: 0.7},
  {name: 'just_under', load: 0.97},
  {name: 'zone_cut', load: 0.7, cutsZone: true},
  {name: 'host_killed', load: 0.7, killsHost: true},
  {name: 'log_down', load: 0.7, killsHost: true, logDown: true},
  {name: 'greedy_all', load: 0.9, greedy: 5, greedyAt: 'all', queued: true},
  {name: 'greedy_one', load: 0.9, greedy: 5, greedyAt: 'one', queued: true},
  {
    name: 'greedy_moving',
    load: 0.9,
    greedy: 5,
    greedyAt: 'moving',
    queued: true,
  },
];
