import {expect} from 'chai';
import {RawObject} from '@fuchsiacleat/core';
import {
  CALLER_END,
  LocalCluster,
  PlacementAudit,
  sampleDeclarations,
} from '../../index.js';

const GIB = 1024 ** 3;
const MODEL_COUNT = 6;
const HOSTS = ['a-1', 'a-2'];

/** Memory of a target; two models and their KV cache fit. */
const TARGET_BYTES = 10 * GIB;
const WEIGHTS_GIB = 4;
const SLOW_STORE_FACTOR = 3;

function modelObjects(): RawObject[] {
  const objects: RawObject[] = [];
  for (let index = 0; index < MODEL_COUNT; index++) {
    const model = `model-${index}`;
    const version = `${model}.1`;
    const fields = {model, weights: `${WEIGHTS_GIB}GiB`};
    objects.push(
      {kind: 'model', name: model, fields: {version}},
      {kind: 'version', name: version, fields},
      {kind: 'route', name: model, fields: {model, teams: 'inspectors'}},
    );
  }
  return objects;
}

describe('promise: memory', () => {
  let cluster: LocalCluster;
  let audit: PlacementAudit;

  beforeEach(async () => {
    const weights = Object.fromEntries(
      Array.from({length: MODEL_COUNT}, (unused, index) => {
        return [`model-${index}.1`, WEIGHTS_GIB * GIB];
      }),
    );
    const memoryBytes = TARGET_BYTES;
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: 'a'})),
      engines: [
        {name: 'pool-1', zone: 'a', memoryBytes},
        {name: 'pool-2', zone: 'a', memoryBytes, fencing: false},
      ],
      weights,
    });
    audit = new PlacementAudit(cluster);
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
      ...modelObjects(),
    ]);
    await cluster.awaitStatus(({leaseHolder}) => leaseHolder !== null);
    cluster.weightStore.slowdown = SLOW_STORE_FACTOR;
  });

  afterEach(() => {
    audit.stop();
    return cluster.kill();
  });

  function chatWithAllModels(hosts: readonly string[]) {
    const chats = [];
    for (const host of hosts) {
      for (let index = 0; index < MODEL_COUNT; index++) {
        const route = `model-${index}`;
        chats.push(cluster.caller(host).chat(`draft at ${host}`, {route}));
      }
    }
    return Promise.all(chats);
  }

  function expectWithinMemory(): void {
    expect(audit.orders(['load']).length).to.be.at.least(MODEL_COUNT);
    expect(audit.overcommits()).to.equal(0);
    for (const {memory} of cluster.engines.values()) {
      expect(memory.peakBytes).to.be.at.most(TARGET_BYTES);
    }
  }

  it('evicts before it loads if the models exceed the memory', async () => {
    for (const {end} of await chatWithAllModels(HOSTS)) {
      expect(end).to.equal(CALLER_END.served);
    }
    expect(audit.orders(['evict'])).not.to.have.length(0);
    expectWithinMemory();
  });

  it('counts the memory of orders whose responses are lost', async () => {
    const chats = chatWithAllModels(HOSTS);
    await cluster.until(() => audit.orders(['load']).length >= 2);
    for (const engine of cluster.engines.values()) {
      engine.silenceOpenConnections();
    }
    for (const {end} of await chats) expect(end).to.equal(CALLER_END.served);
    expectWithinMemory();
  });

  it('stays within memory if the lease moves during loads', async () => {
    const status = await cluster.operator('a-1').status();
    const dead = status._unsafeUnwrap().leaseHolder!;
    const [alive] = HOSTS.filter(host => host !== dead);
    const chats = chatWithAllModels([alive]);
    await cluster.until(() => audit.orders(['load']).length >= 2);
    cluster.daemon(dead).kill();
    cluster.daemons.delete(dead);
    for (const {end} of await chats) expect(end).to.equal(CALLER_END.served);
    expectWithinMemory();
  });
});
