/** Generates a workload of models that wake up, receive requests and fall idle. @packageDocumentation */

import {
  DeclarationSet,
  Random,
  RawObject,
  checkDeclarations,
  splitReplicas,
} from '@fuchsiacleat/core';

const HOUR_MS = 3_600_000;
const GIB = 1024 ** 3;
const ZIPF_EXPONENT = 0.9;

/** Fraction of the models and adapters that wake up per hour. */
const WAKES_PER_HOUR = 0.18;

/** Fraction of the wake-ups that occur in groups, as when offices open. */
const GROUP_SHARE = 0.25;
const MAX_GROUP = 6;
const MEAN_AWAKE_MS = 20 * 60_000;
const MEAN_GAP_MS = 30_000;
const BURST_SPREAD_MS = 50;
const MODEL_GIB = [7, 14, 16, 26, 32, 48] as const;
const INTERACTIVE_DEADLINE_MS = 30_000;
const BATCH_DEADLINE_MS = 300_000;
const BATCH_SHARE = 0.2;

/** The size of one user's system. */
export interface UserSize {
  name: string;
  zones: readonly string[];
  enginesPerZone: number;
  /** Number of entry hosts per zone; each receives a request of the first burst. */
  hostsPerZone: number;
  models: number;
  adapters: number;
  loadsPerSecond: number;
  fullSpeedLoads: number;
}

/** A request of the workload. */
export interface WorkItem {
  id: string;
  zone: string;
  model: string;
  adapter: string | undefined;
  atMs: number;
  deadlineMs: number;
  serviceMs: number;
  /** Whether this is the first request of a wake-up in its zone. */
  isFirstOfWake: boolean;
  /** Whether the base model was already awake when the adapter woke up. */
  baseAwake: boolean;
}

/** Declarations and requests of one run. */
export interface Workload {
  declared: DeclarationSet;
  items: WorkItem[];
  endMs: number;
}

/**
 * Generates a workload.
 *
 * @param size - size of the user's system.
 * @param hours - simulated time, in hours.
 * @param seed - seed of all randomness; equal seeds give equal workloads.
 */
export function makeWorkload(
  size: UserSize,
  hours: number,
  seed: number,
): Workload {
  const random = new Random(seed);
  const declared = createDeclarations(size, random);
  const endMs = hours * HOUR_MS;
  const items = new WakeGenerator(size, declared, random).items(endMs);
  return {declared, items, endMs};
}

function createDeclarations(size: UserSize, random: Random): DeclarationSet {
  const objects: RawObject[] = [];
  for (const zone of size.zones) {
    objects.push({kind: 'zone', name: zone, fields: {}});
    for (let index = 0; index < size.enginesPerZone; index++) {
      const name = `${zone}-${index}`;
      const url = `http://127.0.0.1/${name}`;
      const fields = {zone, url, memory: '80GiB'};
      objects.push({kind: 'target', name, fields});
    }
  }
  for (let index = 0; index < size.models; index++) {
    const model = `model-${index}`;
    const weights = `${random.pick(MODEL_GIB)}GiB`;
    const replicas = random.pick([1, 1, 1, 1, 1, 1, 1, 2, 2, 4]);
    objects.push(
      {
        kind: 'model',
        name: model,
        fields: {version: `${model}.1`, max_replicas: String(replicas)},
      },
      {kind: 'version', name: `${model}.1`, fields: {model, weights}},
    );
  }
  for (let index = 0; index < size.adapters; index++) {
    const model = `model-${random.int(0, size.models - 1)}`;
    const fields = {model, size: '200MiB'};
    objects.push({kind: 'adapter', name: `adapter-${index}`, fields});
  }
  const {declared, faults} = checkDeclarations(objects);
  if (faults.length > 0) throw new Error(JSON.stringify(faults));
  return declared;
}

/** Generates wake-ups of models and adapters; the models' popularity follows a Zipf law. */
class WakeGenerator {
  private readonly weights: number[] = [];
  private readonly adapters: string[];
  private readonly awakeUntilMs = new Map<string, number>();
  private readonly out: WorkItem[] = [];
  private nextId = 0;

  constructor(
    private readonly size: UserSize,
    private readonly declared: DeclarationSet,
    private readonly random: Random,
  ) {
    let sum = 0;
    for (let rank = 1; rank <= size.models; rank++) {
      sum += rank ** -ZIPF_EXPONENT;
      this.weights.push(sum);
    }
    this.adapters = [...declared.all('adapter').keys()];
  }

  items(endMs: number): WorkItem[] {
    const {models, adapters} = this.size;
    const meanGroup = 1 - GROUP_SHARE + (GROUP_SHARE * (2 + MAX_GROUP)) / 2;
    const perHour = ((models + adapters) * WAKES_PER_HOUR) / meanGroup;
    const adapterShare = adapters / (models + adapters);
    for (let atMs = 0; ;) {
      atMs += this.exponential(HOUR_MS / perHour);
      if (atMs >= endMs) break;
      const isGroup = this.random.float() < GROUP_SHARE;
      const count = isGroup ? this.random.int(2, MAX_GROUP) : 1;
      for (let index = 0; index < count; index++) {
        const isAdapter = this.random.float() < adapterShare;
        const wakeMs = atMs + this.random.float() * BURST_SPREAD_MS;
        this.wake(isAdapter, wakeMs, endMs);
      }
    }
    return this.out.sort((a, b) => a.atMs - b.atMs);
  }

  private wake(isAdapter: boolean, atMs: number, endMs: number): void {
    const adapter = isAdapter ? this.random.pick(this.adapters) : undefined;
    const model =
      adapter === undefined
        ? this.pickModel()
        : this.declared.get('adapter', adapter)!.model;
    const key = adapter ?? model;
    if ((this.awakeUntilMs.get(key) ?? 0) > atMs) return;
    const baseAwake = (this.awakeUntilMs.get(model) ?? 0) > atMs;
    const untilMs = atMs + this.exponential(MEAN_AWAKE_MS);
    this.awakeUntilMs.set(key, untilMs);
    const baseUntilMs = this.awakeUntilMs.get(model) ?? 0;
    this.awakeUntilMs.set(model, Math.max(baseUntilMs, untilMs));
    for (const [zone, part] of splitReplicas(this.declared, model)) {
      if (part === 0) continue;
      const wake = {zone, model, adapter, baseAwake};
      this.addBurst(wake, atMs);
      this.addFollowingRequests(wake, atMs, Math.min(untilMs, endMs));
    }
  }

  /** Adds the first requests, which reach all hosts almost simultaneously. */
  private addBurst(
    wake: Pick<WorkItem, 'zone' | 'model' | 'adapter' | 'baseAwake'>,
    atMs: number,
  ): void {
    const isBatch = this.random.float() < BATCH_SHARE;
    for (let host = 0; host < this.size.hostsPerZone; host++) {
      const delayMs = host === 0 ? 0 : this.random.float() * BURST_SPREAD_MS;
      this.addRequest(wake, atMs + delayMs, host === 0, isBatch);
    }
  }

  private addFollowingRequests(
    wake: Pick<WorkItem, 'zone' | 'model' | 'adapter' | 'baseAwake'>,
    fromMs: number,
    untilMs: number,
  ): void {
    let atMs = fromMs + this.exponential(MEAN_GAP_MS);
    while (atMs < untilMs) {
      this.addRequest(wake, atMs, false, false);
      atMs += this.exponential(MEAN_GAP_MS);
    }
  }

  private addRequest(
    wake: Pick<WorkItem, 'zone' | 'model' | 'adapter' | 'baseAwake'>,
    atMs: number,
    isFirst: boolean,
    isBatch: boolean,
  ): void {
    const slackMs = isBatch ? BATCH_DEADLINE_MS : INTERACTIVE_DEADLINE_MS;
    const id = String(this.nextId++);
    const deadlineMs = atMs + slackMs;
    const serviceMs = 1_000 + this.exponential(4_000);
    this.out.push({
      ...wake,
      id,
      atMs,
      deadlineMs,
      serviceMs,
      isFirstOfWake: isFirst,
    });
  }

  private pickModel(): string {
    const at = this.random.float() * this.weights.at(-1)!;
    return `model-${this.weights.findIndex(sum => at < sum)}`;
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random.float()) * mean;
  }
}

/** @returns the size of a version's weights, in bytes. */
export function weightsOf(declared: DeclarationSet, version: string): number {
  return declared.get('version', version)?.weights ?? GIB;
}
