import {expect} from 'chai';
import {Change, Verdict} from '@fuchsiacleat/core';
import {CALLER_END, LocalCluster, sampleDeclarations} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'b-2'];

/** Enough tokens that only a withdrawal ends the streams within the test. */
const TOKENS = 500;

const NO_KEY: Change[] = [{kind: 'key', name: 'inspectors-1', fields: null}];
const WITHDRAWN = 'key-withdrawn';

describe('promise: key-withdrawn', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a', tokenGapMs: 100, slots: 64}],
      services: [{name: 'registry-1', zone: 'a'}],
      weights: {'cold-1': 2 * 1024 ** 3},
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
      {kind: 'model', name: 'cold', fields: {version: 'cold-1'}},
      {
        kind: 'version',
        name: 'cold-1',
        fields: {model: 'cold', weights: '2GiB'},
      },
      {
        kind: 'route',
        name: 'draft-cold',
        fields: {model: 'cold', teams: 'inspectors'},
      },
    ]);
    await cluster.caller('a-1').chat('warm the model up', {maxTokens: 1});
  });

  afterEach(() => cluster.kill());

  async function change(host: string, changes: Change[]): Promise<Verdict> {
    const client = cluster.operator(host);
    const base = (await client.config())._unsafeUnwrap().version;
    const publication = {base, changes, message: 'withdraw'};
    const verdict = await client.publish({type: 'publication', ...publication});
    expect(verdict._unsafeUnwrap().accepted).to.equal(true);
    return verdict._unsafeUnwrap();
  }

  /** Starts a stream at every host and waits for the first token of each. */
  async function startStreams() {
    let running = 0;
    const ends = HOSTS.map(host =>
      cluster.caller(host).chat('long', {
        maxTokens: TOKENS,
        onToken: count => (running += count === 1 ? 1 : 0),
      }),
    );
    await cluster.until(() => running === HOSTS.length);
    return ends;
  }

  async function expectAborted(
    streams: Awaited<ReturnType<typeof startStreams>>,
  ): Promise<void> {
    for (const {end, code} of await Promise.all(streams)) {
      expect({end, code}).to.deep.equal({
        end: CALLER_END.mayHaveRun,
        code: WITHDRAWN,
      });
    }
  }

  async function expectRefusedEverywhere(): Promise<void> {
    for (const host of HOSTS) {
      const {status, end} = await cluster.caller(host).chat('again');
      expect({status, end}).to.deep.equal({
        status: 401,
        end: CALLER_END.notRun,
      });
    }
  }

  it('refuses queued requests, ends streams and finishes started calls', async () => {
    cluster.weightStore.faults = {...cluster.weightStore.faults, delayMs: 9e4};
    const service = cluster.services.get('registry-1')!;
    service.workMs = 1_500;
    const streams = await startStreams();
    const queued = HOSTS.map(host =>
      cluster.caller(host).chat('wait', {route: 'draft-cold'}),
    );
    const filing = cluster.caller('b-1').service('a filing');
    await cluster.until(() => service.runs.length === 1);
    await change('b-2', NO_KEY);
    await expectAborted(streams);
    const ends = await Promise.all(queued);
    expect(ends.map(({code}) => code)).to.deep.equal(
      HOSTS.map(() => WITHDRAWN),
    );
    // A host in the engine's zone has not sent anything to the engine yet.
    expect(ends[0].end).to.equal(CALLER_END.notRun);
    expect((await filing).end).to.equal(CALLER_END.served);
    expect(service.runs.length).to.equal(1);
    await expectRefusedEverywhere();
  });

  it('holds while the log is slow and loses responses', async () => {
    const streams = await startStreams();
    cluster.log.faults = {...cluster.log.faults, loseAnswers: 3, delayMs: 300};
    await change('a-1', NO_KEY);
    await expectAborted(streams);
    await expectRefusedEverywhere();
  });

  it('holds in a zone that is reached only through peers', async () => {
    const streams = await startStreams();
    cluster.partitions.partitionLog('b-1', 'b-2');
    await change('a-2', NO_KEY);
    await expectAborted(streams);
    await expectRefusedEverywhere();
  });

  it('holds in a zone whose log calls get no response', async () => {
    const streams = await startStreams();
    cluster.partitions.silenceLog('b-1', 'b-2');
    await change('a-2', NO_KEY);
    await expectAborted(streams);
    await expectRefusedEverywhere();
  });

  it('holds if only one host reaches the log and the log then fails', async () => {
    const streams = await startStreams();
    cluster.partitions.partitionLog('a-1', 'a-2', 'b-2');
    await change('b-1', NO_KEY);
    cluster.log.faults = {...cluster.log.faults, down: true};
    await expectAborted(streams);
    await expectRefusedEverywhere();
  });

  it('reaches a partitioned zone after the partition heals', async () => {
    cluster.partitions.partitionZone('b');
    const {version} = await change('a-1', NO_KEY);
    expect((await cluster.caller('b-1').chat('still')).status).not.to.equal(
      401,
    );
    cluster.partitions.heal();
    await cluster.awaitVersion(version);
    await expectRefusedEverywhere();
  });

  const rights: Array<{loss: string; changes: Change[]}> = [
    {
      loss: 'its team loses the route',
      changes: [
        {kind: 'team', name: 'others', fields: {}},
        {
          kind: 'route',
          name: 'draft',
          fields: {model: 'drafter', teams: 'others'},
        },
      ],
    },
    {
      loss: 'the route is removed',
      changes: [{kind: 'route', name: 'draft', fields: null}],
    },
    {
      loss: 'the key is moved to another team',
      changes: [
        {kind: 'team', name: 'others', fields: {}},
        {
          kind: 'key',
          name: 'inspectors-1',
          fields: {team: 'others', digest: 'f'.repeat(64)},
        },
      ],
    },
  ];
  for (const {loss, changes} of rights) {
    it(`ends streams when ${loss}`, async () => {
      const streams = await startStreams();
      await change('a-1', changes);
      await expectAborted(streams);
    });
  }
});
