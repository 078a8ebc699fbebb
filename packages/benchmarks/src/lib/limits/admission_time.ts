/** Measures the time of an admission on the system clock. @packageDocumentation */

import {Random, SystemClock, TokenBucket} from '@fuchsiacleat/core';
import {BenchFleet} from './bench_fleet.js';
import {BENCH_USERS} from './limit_scenario.js';

const ROUNDS = 20_000;
const TOKENS = 10;
const FILL_MS = 3_000;
const DEADLINE_MS = 1_000;

/** 95th percentiles of admission times, in milliseconds. */
export interface AdmissionTimes {
  /** Admission through a pool shared by all hosts of a user. */
  sharedMs: number;
  /** Admission through a token bucket of one host. */
  bucketMs: number;
}

/** Measures reservation and settlement while the hosts exchange tokens. */
export async function measureAdmission(): Promise<AdmissionTimes> {
  const clock = new SystemClock();
  const [user] = BENCH_USERS;
  const [team] = user.teams;
  const fleet = new BenchFleet(user, 'shared', clock, new Random(1));
  await clock.sleep(FILL_MS);
  const [host] = fleet.hosts;
  const shared = await time(async () => {
    const deadlineMs = clock.now() + DEADLINE_MS;
    const permit = await host.reserve(team, TOKENS, deadlineMs);
    permit?.settle(0);
  });
  for (const {abort} of fleet.hosts) abort.abort();
  const bucket = new TokenBucket(clock, team, team.burst);
  const alone = await time(async () => {
    bucket.take(TOKENS);
    await Promise.resolve();
    bucket.settle(TOKENS, 0);
  });
  return {sharedMs: shared, bucketMs: alone};
}

async function time(admit: () => Promise<void>): Promise<number> {
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const startMs = performance.now();
    await admit();
    times.push(performance.now() - startMs);
    if (round % 100 === 0) await new Promise(resolve => setImmediate(resolve));
  }
  return times.sort((a, b) => a - b)[Math.floor(ROUNDS * 0.95)];
}
