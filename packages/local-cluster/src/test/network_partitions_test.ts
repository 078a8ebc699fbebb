import {expect} from 'chai';
import {LocalCluster} from '../index.js';

describe('NetworkPartitions', () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'a-2', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [],
    });
  });

  after(() => cluster.kill());

  it('disconnects and reconnects two hosts', async () => {
    const others: Record<string, string> = {'a-1': 'a-2', 'a-2': 'a-1'};
    const awaitLink = (isUp: boolean) =>
      cluster.awaitStatus(
        ({host, peers}) =>
          host === 'b-1' || peers.includes(others[host]) === isUp,
      );
    await awaitLink(true);
    cluster.partitions.partitionPeers('a-1', 'a-2');
    await awaitLink(false);
    cluster.partitions.heal();
    await awaitLink(true);
  });

  it('keeps a partitioned host at its version', async () => {
    cluster.partitions.partitionZone('b');
    const verdict = await cluster.operator('a-1').publish({
      type: 'publication',
      base: 0,
      changes: [{kind: 'zone', name: 'a', fields: {}}],
      message: '',
    });
    expect(verdict._unsafeUnwrap().accepted).to.equal(true);
    const status = await cluster.operator('b-1').status();
    expect(status._unsafeUnwrap().configVersion).to.equal(0);
    cluster.partitions.heal();
    await cluster.awaitVersion(verdict._unsafeUnwrap().version);
  });
});
