/** Measures how teams' rate limits are kept over all hosts. @packageDocumentation */

import {Benchmark, BenchmarkResult, Metric} from './benchmark.js';
import {AdmissionTimes, measureAdmission} from './limits/admission_time.js';
import {POLICIES} from './limits/bench_fleet.js';
import {LimitFigures, computeFigures} from './limits/limit_figures.js';
import {LimitRun} from './limits/limit_run.js';
import {
  BENCH_USERS,
  BenchUser,
  SCENARIOS,
  Scenario,
} from './limits/limit_scenario.js';

/** Compares shared pools with a static split and a separate limit per host. */
export class LimitsBenchmark extends Benchmark {
  override readonly name = 'limits';
  override readonly summary =
    'token limits over all hosts, against a static split and each host alone';

  override async run(seed: number): Promise<BenchmarkResult> {
    const metrics: Metric[] = [];
    for (const user of BENCH_USERS) {
      for (const scenario of SCENARIOS) {
        metrics.push(...(await this.measure(user, scenario, seed)));
      }
    }
    metrics.push(...admissionMetrics(await measureAdmission()));
    return {metrics, series: []};
  }

  /** Runs one scenario under every policy, with the same arrivals. */
  private async measure(
    user: BenchUser,
    scenario: Scenario,
    seed: number,
  ): Promise<Metric[]> {
    const isGreedy = scenario.greedy !== undefined;
    const greedyTeam = isGreedy ? user.teams[0].name : undefined;
    const central = await new LimitRun(user, scenario, 'central', seed).run();
    const metrics: Metric[] = [];
    for (const policy of POLICIES) {
      const result = await new LimitRun(user, scenario, policy, seed).run();
      const figures = computeFigures(user, result, central, greedyTeam);
      const prefix = `limits.${user.name}.${scenario.name}.${policy}`;
      metrics.push(...toMetrics(prefix, figures));
      if (policy !== 'shared') continue;
      const value = result.worstBytesPerSecond;
      metrics.push({name: `${prefix}.sent_per_host`, value, unit: 'B/s'});
    }
    return metrics;
  }
}

function toMetrics(prefix: string, figures: LimitFigures): Metric[] {
  return [
    {
      name: `${prefix}.refused_within_rate`,
      value: figures.refusedWithinRate,
      unit: 'ratio',
    },
    {
      name: `${prefix}.worst_team_share`,
      value: figures.worstTeamShare,
      unit: 'ratio',
    },
    {name: `${prefix}.served`, value: figures.servedFraction, unit: 'ratio'},
    {
      name: `${prefix}.over_limit`,
      value: figures.tokensOverLimit,
      unit: 'tokens',
    },
    {name: `${prefix}.wait_p95`, value: figures.waitP95Ms, unit: 'ms'},
  ];
}

function admissionMetrics({sharedMs, bucketMs}: AdmissionTimes): Metric[] {
  const added = sharedMs - bucketMs;
  return [
    {name: 'limits.admission.shared_p95', value: sharedMs, unit: 'ms'},
    {name: 'limits.admission.bucket_p95', value: bucketMs, unit: 'ms'},
    {name: 'limits.admission.added_p95', value: added, unit: 'ms'},
  ];
}
