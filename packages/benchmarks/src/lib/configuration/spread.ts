/** Measures how fast versions and key withdrawals propagate to nine hosts. @packageDocumentation */

import {Change, createKey} from '@fuchsiacleat/core';
import {LocalCluster, sampleDeclarations} from '@fuchsiacleat/local-cluster';

const ZONES = ['a', 'b', 'c'];
const HOSTS = ZONES.flatMap(zone => [1, 2, 3].map(n => `${zone}-${n}`));
const CUT_HOSTS = HOSTS.filter(host => host.startsWith('c'));
const POLL_MS = 1;
const CUT_MS = 3_000;

/** Propagation times in milliseconds since the publish call or the end of the partition. */
export interface SpreadResult {
  allLinked: number[];
  zoneWithoutLog: number[];
  afterHeal: number[];
  withdrawn: number[];
  withdrawnWithoutLog: number[];
}

/** Runs publications and withdrawals over nine daemons in three zones. */
export class SpreadExperiment {
  private published = 0;

  private constructor(private readonly cluster: LocalCluster) {}

  /**
   * @param publications - number of publications of each kind.
   * @param repeats - number of partitions, and of withdrawals of each kind.
   */
  static async run(
    publications: number,
    repeats: number,
  ): Promise<SpreadResult> {
    const cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a', tokenGapMs: 20, slots: 64}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    try {
      return await new SpreadExperiment(cluster).measure(publications, repeats);
    } finally {
      await cluster.kill();
    }
  }

  private async measure(
    publications: number,
    repeats: number,
  ): Promise<SpreadResult> {
    const {partitions: cuts} = this.cluster;
    const allLinked = await repeat(publications, () => this.measureSpread());
    const withdrawn = await repeat(repeats, () => this.measureWithdrawal());
    cuts.partitionLog(...CUT_HOSTS);
    const zoneWithoutLog = await repeat(publications, () =>
      this.measureSpread(),
    );
    const withdrawnWithoutLog = await repeat(repeats, () =>
      this.measureWithdrawal(),
    );
    cuts.heal();
    const afterHeal = await repeat(repeats, () => this.measureHeal());
    return {
      allLinked,
      zoneWithoutLog,
      afterHeal,
      withdrawn,
      withdrawnWithoutLog,
    };
  }

  /** @returns the time from the publish call until all hosts have the version. */
  private async measureSpread(): Promise<number> {
    const startMs = performance.now();
    await this.awaitVersion(await this.publish([this.nextChange()]));
    return performance.now() - startMs;
  }

  /** @returns the time from the end of a partition until all hosts have the newest version. */
  private async measureHeal(): Promise<number> {
    const {partitions: cuts} = this.cluster;
    cuts.partitionZone('c');
    const version = await this.publish([this.nextChange()]);
    await sleep(CUT_MS);
    const startMs = performance.now();
    cuts.heal();
    await this.awaitVersion(version);
    return performance.now() - startMs;
  }

  /**
   * @returns the time from the acceptance of a withdrawal until all hosts
   *   refuse the key and all streams that use it have ended.
   */
  private async measureWithdrawal(): Promise<number> {
    const {key, digest} = createKey();
    const name = `withdrawn-${this.published++}`;
    const fields = {team: 'inspectors', digest};
    await this.awaitVersion(await this.publish([{kind: 'key', name, fields}]));
    let running = 0;
    const onToken = (count: number) => (running += count === 1 ? 1 : 0);
    const options = {key, maxTokens: 500, onToken};
    const streams = HOSTS.map(host =>
      this.cluster.caller(host).chat('long', options),
    );
    await this.cluster.until(() => running === HOSTS.length);
    await this.publish([{kind: 'key', name, fields: null}]);
    const startMs = performance.now();
    await Promise.all([
      ...streams,
      ...HOSTS.map(host => this.awaitRefused(host, key)),
    ]);
    return performance.now() - startMs;
  }

  private awaitRefused(host: string, key: string): Promise<void> {
    return this.cluster.until(async () => {
      const caller = this.cluster.caller(host);
      const answer = await caller.chat('again', {key, maxTokens: 1});
      return answer.status === 401;
    });
  }

  private nextChange(): Change {
    const fields = {weight: String(++this.published)};
    return {kind: 'team', name: 'inspectors', fields};
  }

  private async publish(changes: Change[]): Promise<number> {
    const client = this.cluster.operator('a-1');
    const base = this.cluster.daemon('a-1').configVersion;
    const type = 'publication' as const;
    const answer = await client.publish({type, base, changes, message: ''});
    const verdict = answer._unsafeUnwrap();
    if (!verdict.accepted) throw new Error(verdict.reasons.join('; '));
    return verdict.version;
  }

  private async awaitVersion(version: number): Promise<void> {
    const daemons = [...this.cluster.daemons.values()];
    while (daemons.some(daemon => daemon.configVersion < version)) {
      await sleep(POLL_MS);
    }
  }
}

async function repeat(
  count: number,
  measure: () => Promise<number>,
): Promise<number[]> {
  const values: number[] = [];
  for (let i = 0; i < count; i++) values.push(await measure());
  return values;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
