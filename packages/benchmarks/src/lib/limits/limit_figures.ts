/** Computes the figures of a limits run. @packageDocumentation */

import {zoneFraction} from '@fuchsiacleat/core';
import {FLOOR_FRACTION} from './bench_fleet.js';
import {BenchTeam, BenchUser} from './limit_scenario.js';
import {LimitRunResult, RequestRecord} from './limit_run.js';

const MS_PER_SECOND = 1_000;

/** The figures of one run. */
export interface LimitFigures {
  /**
   * Fraction of the requests that were refused although within the rate. Does
   * not count as many as a central bucket refuses, nor those that exceed the
   * share of their side of a partition.
   */
  refusedWithinRate: number;
  /** Least ratio, over the teams, of the served fraction to that with a central bucket. */
  worstTeamShare: number;
  /** Fraction of the offered tokens that was served. */
  servedFraction: number;
  /** Maximum excess of tokens in any window over rate * window + burst. */
  tokensOverLimit: number;
  /** 95th percentile of the wait for tokens, in milliseconds. */
  waitP95Ms: number;
}

/**
 * Computes the figures of a run.
 *
 * @param user - user whose teams sent the requests.
 * @param result - result of the run.
 * @param central - result of the same run with a central bucket.
 * @param greedyTeam - the team that offers more than its rate.
 */
export function computeFigures(
  user: BenchUser,
  result: LimitRunResult,
  central: LimitRunResult,
  greedyTeam: string | undefined,
): LimitFigures {
  const ended = selectEnded(result, greedyTeam);
  const entitled = selectEnded(central, greedyTeam);
  const refused = ended.filter(({wasServed}) => wasServed === false);
  const overRate = entitled.filter(({wasServed}) => wasServed === false);
  const unexplained =
    refused.length -
    overRate.length -
    countExplainedRefusals(user, result, refused);
  return {
    refusedWithinRate: Math.max(0, unexplained) / ended.length,
    worstTeamShare: worstShare(user, ended, entitled),
    servedFraction: servedFractionOf(ended),
    tokensOverLimit: Math.max(
      ...user.teams.map(team => overLimit(team, result.records)),
    ),
    waitP95Ms: percentile95(ended.map(({waitedMs}) => waitedMs)),
  };
}

/** Returns the number of refusals due to the share of a side of the partition. */
function countExplainedRefusals(
  user: BenchUser,
  result: LimitRunResult,
  refused: readonly RequestRecord[],
): number {
  const {cutZone, faultMs, records} = result;
  if (cutZone === undefined) return 0;
  let sum = 0;
  for (const team of user.teams) {
    for (const isCut of [true, false]) {
      const fraction = sideFraction(user, team.name, cutZone, isCut);
      const isHere = ({team: name, zone, arrivedMs}: RequestRecord) =>
        name === team.name &&
        (zone === cutZone) === isCut &&
        arrivedMs >= faultMs.from &&
        arrivedMs < faultMs.to;
      const offered = records.filter(isHere);
      const seconds = (faultMs.to - faultMs.from) / MS_PER_SECOND;
      const tooLarge = offered.filter(r => r.reserved > team.burst * fraction);
      const fitting = offered.filter(r => r.reserved <= team.burst * fraction);
      const excess = tokensOf(fitting) - team.rate * fraction * seconds;
      const mean = tokensOf(offered) / Math.max(1, offered.length);
      const expected = tooLarge.length + Math.max(0, excess) / mean;
      sum += Math.min(refused.filter(isHere).length, Math.ceil(expected));
    }
  }
  return sum;
}

function sideFraction(
  user: BenchUser,
  pool: string,
  cutZone: string,
  isCut: boolean,
): number {
  const zones = new Map(Object.keys(user.hosts).map(zone => [zone, 1]));
  const spec = {name: pool, rate: 1, burst: 1, floor: FLOOR_FRACTION};
  const cut = zoneFraction(spec, zones, cutZone);
  return isCut ? cut : 1 - cut;
}

function selectEnded(
  {records, measuredMs: {from, to}}: LimitRunResult,
  greedyTeam: string | undefined,
): RequestRecord[] {
  return records.filter(
    ({team, arrivedMs, wasServed}) =>
      team !== greedyTeam &&
      arrivedMs >= from &&
      arrivedMs < to &&
      wasServed !== undefined,
  );
}

function worstShare(
  user: BenchUser,
  ended: readonly RequestRecord[],
  entitled: readonly RequestRecord[],
): number {
  const shares = user.teams.map(({name}) => {
    const isOwn = ({team}: RequestRecord) => team === name;
    const due = servedFractionOf(entitled.filter(isOwn));
    return due > 0 ? servedFractionOf(ended.filter(isOwn)) / due : Infinity;
  });
  return Math.min(...shares);
}

function servedFractionOf(records: readonly RequestRecord[]): number {
  const served = records.filter(({wasServed}) => wasServed);
  return tokensOf(served) / Math.max(1, tokensOf(records));
}

function tokensOf(records: readonly RequestRecord[]): number {
  return records.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Returns the largest excess in any window, by time of admission or of generation. */
function overLimit(team: BenchTeam, records: readonly RequestRecord[]): number {
  const own = records.filter(({team: name}) => name === team.name);
  const generated = own.flatMap(record => record.generated);
  const admitted = own.map(({arrivedMs, waitedMs, generated: counts}) => ({
    atMs: arrivedMs + waitedMs,
    tokens: counts.reduce((sum, {tokens}) => sum + tokens, 0),
  }));
  return Math.max(excess(team, generated), excess(team, admitted));
}

function excess(
  {rate, burst}: BenchTeam,
  counts: ReadonlyArray<{atMs: number; tokens: number}>,
): number {
  let largest = 0;
  let running = 0;
  let lastMs = 0;
  for (const {atMs, tokens} of [...counts].sort((a, b) => a.atMs - b.atMs)) {
    const refilled = (rate * (atMs - lastMs)) / MS_PER_SECOND;
    running = Math.max(0, running - refilled) + tokens;
    lastMs = atMs;
    largest = Math.max(largest, running);
  }
  // Rounds, since sums of many floating-point numbers are inexact.
  return Math.max(0, Math.round((largest - burst) * 1e3) / 1e3);
}

function percentile95(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.95)] ?? 0;
}
