import {expect} from 'chai';
import {RawObject} from '@fuchsiacleat/core';
import {
  CALLER_END,
  LocalCluster,
  PlacementAudit,
  sampleDeclarations,
} from '../index.js';

const GIB = 1024 ** 3;
const HOSTS = ['a-1', 'a-2'];

describe('model version change under traffic', () => {
  let cluster: LocalCluster;
  let audit: PlacementAudit;

  async function start(memoryGib: number): Promise<void> {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: 'a'})),
      engines: [{name: 'pool-1', zone: 'a', memoryBytes: memoryGib * GIB}],
      weights: {'drafter-1': 2 * GIB, 'drafter-2': 2 * GIB},
    });
    audit = new PlacementAudit(cluster);
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
      ...['drafter-1', 'drafter-2'].map(versionObject),
      modelObject('drafter-1'),
    ]);
    await cluster.caller('a-1').chat('warm the model up', {maxTokens: 1});
  }

  afterEach(() => {
    audit.stop();
    return cluster.kill();
  });

  function versionObject(name: string): RawObject {
    const fields = {model: 'drafter', weights: '2GiB'};
    return {kind: 'version', name, fields};
  }

  function modelObject(version: string): RawObject {
    const fields = {version, max_replicas: '1'};
    return {kind: 'model', name: 'drafter', fields};
  }

  function residents(): string[] {
    const {memory} = cluster.engines.get('pool-1')!;
    return memory.inventory().residents.map(({version}) => version);
  }

  /** Publishes a version and sends requests until only it is loaded. */
  async function changeTo(version: string): Promise<string[]> {
    const ends: string[] = [];
    await cluster.publish([modelObject(version)]);
    await cluster.until(async () => {
      const answers = await Promise.all(
        HOSTS.map(host => cluster.caller(host).chat('draft', {maxTokens: 3})),
      );
      ends.push(...answers.map(({end}) => end));
      return residents().join() === version;
    });
    return ends;
  }

  for (const memoryGib of [8, 4]) {
    const room = memoryGib === 8 ? 'with' : 'without';
    it(`switches forth and back ${room} memory for both versions`, async () => {
      await start(memoryGib);
      for (const version of ['drafter-2', 'drafter-1']) {
        const ends = await changeTo(version);
        expect(new Set(ends)).to.deep.equal(new Set([CALLER_END.served]));
        await cluster.caller('a-2').chat('draft', {maxTokens: 1});
        const {runs} = cluster.engines.get('pool-1')!;
        expect(runs.at(-1)!.version).to.equal(version);
      }
      expect(audit.overcommits()).to.equal(0);
      expect(audit.undecidedOrders()).to.deep.equal([]);
    });
  }
});
