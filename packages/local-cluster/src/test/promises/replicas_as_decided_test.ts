import {expect} from 'chai';
import {
  CALLER_END,
  ClusterSpec,
  LocalCluster,
  PlacementAudit,
  sampleDeclarations,
} from '../../index.js';

const GIB = 1024 ** 3;
const HOSTS = ['a-1', 'a-2', 'a-3'];

/** Makes loads take half a second, so that faults occur during a load. */
const SLOW_LOAD_FACTOR = 10;

/** Makes loads take ten seconds, longer than the lease lifetime. */
const LONGER_THAN_LEASE_FACTOR = 200;

const SPEC: ClusterSpec = {
  hosts: HOSTS.map(name => ({name, zone: 'a'})),
  engines: [
    {name: 'pool-1', zone: 'a'},
    {name: 'pool-2', zone: 'a'},
  ],
};

const WITHOUT_FENCING: ClusterSpec = {
  ...SPEC,
  engines: SPEC.engines.map(engine => ({...engine, fencing: false})),
};

describe('promise: replicas-as-decided', () => {
  let cluster: LocalCluster;
  let audit: PlacementAudit;

  async function start(spec: ClusterSpec): Promise<void> {
    cluster = await LocalCluster.start(spec);
    audit = new PlacementAudit(cluster);
    const objects = sampleDeclarations().map(object => {
      if (object.kind !== 'model') return object;
      return {...object, fields: {...object.fields, max_replicas: '1'}};
    });
    await cluster.publish([...cluster.platformObjects(), ...objects]);
    await cluster.awaitStatus(({leaseHolder}) => leaseHolder !== null);
  }

  /** @returns the lease holder that a host reports. */
  async function reportedHolder(host: string): Promise<string | null> {
    const status = await cluster.operator(host).status();
    return status._unsafeUnwrap().leaseHolder;
  }

  function chatAtAll(hosts: readonly string[]) {
    return Promise.all(
      hosts.map(host => cluster.caller(host).chat(`draft at ${host}`)),
    );
  }

  /** Waits until a target has started a load. */
  function waitForLoad(): Promise<void> {
    return cluster.until(() => audit.orders(['load']).length > 0);
  }

  function expectAsDecided(): void {
    expect(audit.orders(['load']).length, 'loads').to.be.at.least(1);
    expect(audit.undecidedOrders()).to.deep.equal([]);
    expect(audit.maxReplicas.get('drafter')).to.equal(1);
    expect(audit.overcommits()).to.equal(0);
  }

  afterEach(() => {
    audit.stop();
    return cluster.kill();
  });

  it('loads once for a burst of first requests at all hosts', async () => {
    await start(SPEC);
    cluster.weightStore.slowdown = SLOW_LOAD_FACTOR;
    const answers = await chatAtAll([...HOSTS, ...HOSTS, ...HOSTS]);
    for (const {end} of answers) expect(end).to.equal(CALLER_END.served);
    expect(audit.orders(['load'])).to.have.length(1);
    expectAsDecided();
  });

  it('adopts a load whose controller was killed', async () => {
    await start(SPEC);
    cluster.weightStore.slowdown = LONGER_THAN_LEASE_FACTOR;
    const dead = (await reportedHolder('a-1'))!;
    const alive = HOSTS.filter(host => host !== dead);
    const answers = chatAtAll(alive);
    await waitForLoad();
    cluster.daemon(dead).kill();
    cluster.daemons.delete(dead);
    for (const {end} of await answers) expect(end).to.equal(CALLER_END.served);
    expect(audit.orders(['load'])).to.have.length(1);
    expectAsDecided();
  });

  it('treats an order whose response was lost as possibly executed', async () => {
    await start(SPEC);
    cluster.weightStore.slowdown = SLOW_LOAD_FACTOR;
    const answers = chatAtAll(HOSTS);
    await waitForLoad();
    for (const engine of cluster.engines.values()) {
      engine.silenceOpenConnections();
    }
    for (const {end} of await answers) expect(end).to.equal(CALLER_END.served);
    expectAsDecided();
  });

  it('loads at another target if the target dies during a load', async () => {
    await start(SPEC);
    cluster.weightStore.slowdown = SLOW_LOAD_FACTOR;
    const answers = chatAtAll(HOSTS);
    await waitForLoad();
    const [dead] = [...cluster.engines.values()].filter(({orders}) =>
      orders.some(({order}) => order.kind === 'load'),
    );
    await dead.stop();
    for (const {end} of await answers) expect(end).to.equal(CALLER_END.served);
    expect(audit.undecidedOrders()).to.deep.equal([]);
    expect(audit.overcommits()).to.equal(0);
  });

  for (const spec of [SPEC, WITHOUT_FENCING]) {
    const checks = spec === SPEC ? 'check' : 'do not check';
    it(`lets only one controller order if targets ${checks} fencing numbers`, async () => {
      await start(spec);
      cluster.weightStore.slowdown = SLOW_LOAD_FACTOR;
      const old = (await reportedHolder('a-1'))!;
      const others = HOSTS.filter(host => host !== old);
      const answers = chatAtAll(others);
      await waitForLoad();
      cluster.partitions.partitionLog(old);
      for (const other of others) cluster.partitions.partitionPeers(old, other);
      await cluster.until(async () => {
        return (await reportedHolder(others[0])) !== old;
      });
      const late = cluster.caller(old).chat('draft at a host that is cut off');
      for (const {end} of await answers) {
        expect(end).to.equal(CALLER_END.served);
      }
      await late;
      expectAsDecided();
    });
  }

  it('sends no order that the log did not record', async () => {
    await start(SPEC);
    for (const host of HOSTS) cluster.partitions.partitionLog(host);
    for (const host of HOSTS) {
      for (const other of HOSTS) {
        if (host !== other) cluster.partitions.partitionPeers(host, other);
      }
    }
    const headers = {'x-deadline-ms': '1500'};
    const answers = await Promise.all(
      HOSTS.map(host => cluster.caller(host).chat('draft', {headers})),
    );
    for (const {end} of answers) expect(end).to.equal(CALLER_END.notRun);
    expect(audit.orders(['load'])).to.deep.equal([]);
  });

  it('decides with the members while only the log is down', async () => {
    await start(SPEC);
    cluster.log.faults = {...cluster.log.faults, down: true};
    const [answer] = await chatAtAll(['a-1']);
    expect(answer.end).to.equal(CALLER_END.served);
    cluster.log.faults = {...cluster.log.faults, down: false};
    const [{id}] = audit.orders(['load']);
    await cluster.until(() => audit.decisionIds().has(id));
    expectAsDecided();
  });
});

describe('promise: replicas-as-decided over zones', () => {
  it('keeps partitioned zones within their replica shares', async () => {
    const cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [
        {name: 'pool-a', zone: 'a'},
        {name: 'pool-b', zone: 'b'},
      ],
      weights: {'drafter-1': GIB},
    });
    const audit = new PlacementAudit(cluster);
    try {
      const objects = sampleDeclarations().map(object => {
        if (object.kind !== 'model') return object;
        return {...object, fields: {...object.fields, max_replicas: '1'}};
      });
      await cluster.publish([...cluster.platformObjects(), ...objects]);
      cluster.partitions.partitionPeers('a-1', 'b-1');
      const headers = {'x-deadline-ms': '2000'};
      const ends = await Promise.all(
        ['a-1', 'b-1'].map(async host => {
          const answer = await cluster.caller(host).chat('draft', {headers});
          return answer.end;
        }),
      );
      expect([...ends].sort()).to.deep.equal([
        CALLER_END.notRun,
        CALLER_END.served,
      ]);
      expect(audit.maxReplicas.get('drafter')).to.equal(1);
      expect(audit.undecidedOrders()).to.deep.equal([]);
    } finally {
      audit.stop();
      await cluster.kill();
    }
  });
});
