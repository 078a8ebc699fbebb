/** Compares methods to reconcile replica counts between zones after a partition. @packageDocumentation */

import {Random} from '@fuchsiacleat/core';
import {encode} from 'cbor-x';
import {Benchmark, BenchmarkResult, Metric, Series} from './benchmark.js';
import {CountingCuckooFilter} from './reconcile/counting_cuckoo_filter.js';

const ADAPTERS = 16_000;
const MAX_REPLICAS = 4;
const CHANGED_PER_HOUR = 0.18;
const FINGERPRINT_BITS = 16;
const PARTITION_MINUTES = [1, 10, 60] as const;
const MINUTES_PER_HOUR = 60;
const REPEATS = 5;

type Counts = Map<string, number>;

interface Exchange {
  /** Bytes in both directions. */
  bytes: number;
  /** Number of differing entries that were not found. */
  missed: number;
}

/** Counts before and after a partition, and the names that changed. */
interface Partition {
  before: Counts;
  after: Counts;
  changed: string[];
}

/** Compares a full dump, versioned deltas and a counting cuckoo filter. */
export class ReconcileBenchmark extends Benchmark {
  override readonly name = 'reconcile';
  override readonly summary =
    'bytes and time to reconcile 16,000 replica counts after a cut';

  override async run(seed: number): Promise<BenchmarkResult> {
    const metrics: Metric[] = [];
    const ways = {dump, deltas, filter};
    const series: Series[] = [];
    for (const [way, exchange] of Object.entries(ways)) {
      const points = [];
      for (const minutes of PARTITION_MINUTES) {
        const partition = createPartition(new Random(seed), minutes);
        const {bytes, missed, ms} = measure(() => exchange(partition));
        const name = `reconcile.${way}.${minutes}min`;
        metrics.push({name: `${name}.bytes`, value: bytes, unit: 'B'});
        metrics.push({name: `${name}.time`, value: ms, unit: 'ms'});
        metrics.push({name: `${name}.missed`, value: missed, unit: 'entries'});
        points.push({x: minutes, y: bytes});
      }
      series.push({
        name: `reconcile.${way}`,
        xLabel: 'length of the cut (min)',
        yLabel: 'bytes',
        points,
      });
    }
    return {metrics, series};
  }
}

function createPartition(random: Random, minutes: number): Partition {
  const before: Counts = new Map();
  for (let number = 0; number < ADAPTERS; number++) {
    before.set(`adapter-${number}`, random.int(0, MAX_REPLICAS));
  }
  const after = new Map(before);
  const changes = (ADAPTERS * CHANGED_PER_HOUR * minutes) / MINUTES_PER_HOUR;
  const changed = new Set<string>();
  while (changed.size < Math.round(changes)) {
    const name = `adapter-${random.int(0, ADAPTERS - 1)}`;
    const other = (before.get(name)! + 1) % (MAX_REPLICAS + 1);
    after.set(name, other);
    changed.add(name);
  }
  return {before, after, changed: [...changed]};
}

/** Sends the whole state in one message. */
function dump({after}: Partition): Exchange {
  return {bytes: encode([...after]).length, missed: 0};
}

/** Sends the entries that are newer than the last acknowledged version. */
function deltas({after, changed}: Partition): Exchange {
  const entries = changed.map(name => [name, after.get(name)!]);
  return {bytes: encode(entries).length, missed: 0};
}

/**
 * Exchanges filters: each side sends its filter, looks up its own elements in
 * the other's, and sends those whose count differs.
 */
function filter({before, after, changed}: Partition): Exchange {
  const [old, current] = [before, after].map(fill);
  const found = new Set<string>();
  const entries: Array<[string, number]> = [];
  for (const [name, count] of after) {
    if (old.count(name) === count) continue;
    found.add(name);
    entries.push([name, count]);
  }
  for (const [name, count] of before) {
    if (current.count(name) !== count) found.add(name);
  }
  const missed = changed.filter(name => !found.has(name)).length;
  const bytes = old.bytes + current.bytes + encode(entries).length;
  return {bytes, missed};
}

function fill(counts: Counts): CountingCuckooFilter {
  const result = new CountingCuckooFilter(ADAPTERS, FINGERPRINT_BITS);
  for (const [name, count] of counts) {
    if (count > 0 && !result.insert(name, count)) {
      throw new Error('the cuckoo filter has no room for another element');
    }
  }
  return result;
}

function measure(work: () => Exchange): Exchange & {ms: number} {
  let best = Infinity;
  let exchange = work();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const startMs = performance.now();
    exchange = work();
    best = Math.min(best, performance.now() - startMs);
  }
  return {...exchange, ms: best};
}
