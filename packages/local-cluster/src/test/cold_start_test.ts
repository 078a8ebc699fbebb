import {expect} from 'chai';
import {RawObject} from '@fuchsiacleat/core';
import {
  CALLER_END,
  LocalCluster,
  PlacementAudit,
  sampleDeclarations,
} from '../index.js';

const SECOND_MODEL: RawObject[] = [
  {kind: 'model', name: 'reader', fields: {version: 'reader-1'}},
  {
    kind: 'version',
    name: 'reader-1',
    fields: {model: 'reader', weights: '1GiB'},
  },
  {kind: 'route', name: 'read', fields: {model: 'reader', open: 'yes'}},
];

describe('cold starts', () => {
  let cluster: LocalCluster;
  let audit: PlacementAudit;

  async function start(zones: readonly string[]): Promise<void> {
    cluster = await LocalCluster.start({
      hosts: zones.map(zone => ({name: `${zone}-1`, zone})),
      engines: zones.map(zone => ({name: `pool-${zone}`, zone})),
    });
    audit = new PlacementAudit(cluster);
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
      ...SECOND_MODEL,
    ]);
    await cluster.awaitStatus(({leaseHolder}) => leaseHolder !== null);
  }

  afterEach(() => {
    audit.stop();
    return cluster.kill();
  });

  it('load from disk while the weight store does not respond', async () => {
    await start(['a']);
    const engine = cluster.engines.get('pool-a')!;
    engine.memory.addCheckpoint('drafter-1');
    cluster.weightStore.faults = {...cluster.weightStore.faults, silent: true};
    const headers = {'x-deadline-ms': '1500'};
    const caller = cluster.caller('a-1');
    const remote = caller.chat('a text', {route: 'read', headers});
    await cluster.until(() => audit.orders(['load']).length > 0);
    const local = await caller.chat('a draft');
    expect(local.end).to.equal(CALLER_END.served);
    expect((await remote).end).to.equal(CALLER_END.notRun);
  });

  it('use a ready replica in another zone instead of a load', async () => {
    await start(['a', 'b']);
    const first = await cluster.caller('b-1').chat('a draft');
    expect(first.end).to.equal(CALLER_END.served);
    // A load in zone a does not end within the test.
    cluster.weightStore.faults = {...cluster.weightStore.faults, silent: true};
    const headers = {'x-deadline-ms': '1000'};
    await cluster.until(async () => {
      const answer = await cluster.caller('a-1').chat('a draft', {headers});
      return answer.end === CALLER_END.served;
    });
    expect(cluster.engines.get('pool-a')!.runs).to.have.length(0);
    expect(cluster.engines.get('pool-b')!.runs).to.have.length(2);
  });
});
