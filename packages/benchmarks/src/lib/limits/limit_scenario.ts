/** The users and scenarios of the limits benchmark. @packageDocumentation */

/** A team and its rate limit. */
export interface BenchTeam {
  name: string;
  /** Tokens per second. */
  rate: number;
  /** Tokens. */
  burst: number;
}

/** A user of the system, with its hosts and teams. */
export interface BenchUser {
  name: string;
  /** Number of entry hosts by zone. */
  hosts: Readonly<Record<string, number>>;
  teams: readonly BenchTeam[];
  /** Total number of batch slots of the targets in a zone. */
  slotsPerZone: number;
}

/** Load and faults of a run. */
export interface Scenario {
  name: string;
  /** Offered load of each team, as a fraction of its rate. */
  load: number;
  /** Offered load of the largest team instead, as a multiple of its rate. */
  greedy?: number;
  /** Which hosts the greedy team uses. */
  greedyAt?: 'all' | 'one' | 'moving';
  /** Whether one zone is partitioned in the middle of the run. */
  cutsZone?: boolean;
  /** Whether one host is killed in the middle of the run. */
  killsHost?: boolean;
  /** Whether the log is down, so that hosts do not learn of membership changes. */
  isLogDown?: boolean;
  /** Whether requests also wait in the queue for batch slots. */
  queued?: boolean;
}

/** Burst of each team, in seconds at its rate. */
const BURST_S = 10;

/** Shares of the teams in the total rate. */
const TEAM_SHARES = [0.4, 0.3, 0.15, 0.1, 0.05];

function teamsOf(names: readonly string[], tokensPerSecond: number) {
  return names.map((name, index) => {
    const rate = tokensPerSecond * TEAM_SHARES[index];
    return {name, rate, burst: rate * BURST_S};
  });
}

/** Both users at their current sizes. */
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

/** All scenarios, in the order in which they run. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'healthy', load: 0.7},
  {name: 'just_under', load: 0.97},
  {name: 'zone_cut', load: 0.7, cutsZone: true},
  {name: 'host_killed', load: 0.7, killsHost: true},
  {name: 'log_down', load: 0.7, killsHost: true, isLogDown: true},
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
