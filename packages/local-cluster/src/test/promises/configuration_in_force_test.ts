import {expect} from 'chai';
import {EXIT_CODE, awaitInForce} from '@fuchsiacleat/cli';
import {Change, Publication, RawObject} from '@fuchsiacleat/core';
import {CALLER_END, LocalCluster, sampleDeclarations} from '../../index.js';

const HOSTS = ['a-1', 'a-2', 'b-1', 'b-2'];
const RETENTION_MS = 8_000;

function weightOf(weight: number): Change[] {
  const fields = {weight: String(weight)};
  return [{kind: 'team', name: 'inspectors', fields}];
}

function delta(base: number, changes: Change[], author = 'asha'): Publication {
  return {type: 'publication', base, changes, message: '', author};
}

describe('promise: configuration-in-force', () => {
  let cluster: LocalCluster;
  let first: number;
  let watch: AbortController;
  let regressedHosts: string[];

  beforeEach(() => start());

  async function start(retentionMs?: number): Promise<void> {
    cluster = await LocalCluster.start({
      hosts: HOSTS.map(name => ({name, zone: name[0]})),
      engines: [{name: 'pool-1', zone: 'a'}],
      retentionMs,
    });
    first = await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    watch = new AbortController();
    regressedHosts = [];
    void watchVersions();
  }

  afterEach(() => stop());

  async function stop(): Promise<void> {
    watch.abort();
    await cluster.kill();
    expect(regressedHosts).to.be.empty;
  }

  /** Records every host whose configuration version decreases. */
  async function watchVersions(): Promise<void> {
    const seen = new Map<unknown, number>();
    while (!watch.signal.aborted) {
      for (const [name, daemon] of cluster.daemons) {
        const {configVersion} = daemon;
        if (configVersion < (seen.get(daemon) ?? 0)) regressedHosts.push(name);
        seen.set(daemon, configVersion);
      }
      await new Promise(resolve => setTimeout(resolve, 1));
    }
  }

  async function accepted(host: string, base: number, weight: number) {
    const publication = delta(base, weightOf(weight));
    const verdict = await cluster.operator(host).publish(publication);
    expect(verdict._unsafeUnwrap().accepted).to.equal(true);
    return verdict._unsafeUnwrap().version;
  }

  async function weights(): Promise<string[]> {
    const found: string[] = [];
    for (const host of cluster.daemons.keys()) {
      const held = (await cluster.operator(host).config())._unsafeUnwrap();
      const isTeam = ({kind}: RawObject) => kind === 'team';
      found.push(held.objects.find(isTeam)!.fields.weight);
    }
    return found;
  }

  it('applies a publication once if the log loses responses', async () => {
    cluster.log.faults = {...cluster.log.faults, loseAnswers: 4};
    const version = await accepted('a-1', first, 2);
    await cluster.awaitVersion(version);
    const history = (await cluster.operator('b-2').history())._unsafeUnwrap();
    expect(history.map(entry => entry.replaced)).to.deep.equal([0, first]);
    expect(await weights()).to.deep.equal(['2', '2', '2', '2']);
  });

  it('reports an unknown outcome and its verdict later', async () => {
    cluster.log.faults = {...cluster.log.faults, down: true};
    const client = cluster.operator('a-1');
    const publication = delta(first, weightOf(3));
    const unknown = await client.publish(publication, 'p-1');
    expect(unknown._unsafeUnwrapErr().type).to.equal('unknown-outcome');
    const notSeen = await client.verdictOf('p-1');
    expect(notSeen._unsafeUnwrap()).to.equal(undefined);
    cluster.log.faults = {...cluster.log.faults, down: false};
    const other = cluster.operator('b-1');
    const again = (await other.publish(publication, 'p-1'))._unsafeUnwrap();
    expect(again.accepted).to.equal(true);
    const thrice = (await client.publish(publication, 'p-1'))._unsafeUnwrap();
    expect(thrice).to.deep.equal(again);
    await cluster.awaitVersion(again.version);
    const seen = (await client.verdictOf('p-1'))._unsafeUnwrap();
    expect(seen).to.deep.equal(again);
  });

  it('gives each of two concurrent operators a correct verdict', async () => {
    cluster.log.faults = {...cluster.log.faults, delayMs: 100};
    const verdicts = await Promise.all([
      cluster
        .operator('a-1')
        .publish(delta(first, weightOf(4), 'asha'), 'p-asha'),
      cluster
        .operator('b-1')
        .publish(delta(first, weightOf(5), 'birna'), 'p-birna'),
    ]);
    const [asha, birna] = verdicts.map(verdict => verdict._unsafeUnwrap());
    expect(asha.accepted).not.to.equal(birna.accepted);
    const winner = asha.accepted ? 'asha' : 'birna';
    const loser = asha.accepted ? birna : asha;
    const {version} = asha.accepted ? asha : birna;
    expect(loser).to.deep.equal({
      accepted: false,
      version,
      reasons: [
        `team/inspectors was changed in version ${version} by ${winner}, ` +
          `after base ${first}`,
      ],
    });
    await cluster.awaitVersion(version);
    const weight = asha.accepted ? '4' : '5';
    expect(await weights()).to.deep.equal(HOSTS.map(() => weight));
  });

  it('reaches a zone without the log through peers', async () => {
    cluster.partitions.partitionLog('b-1', 'b-2');
    await cluster.awaitVersion(await accepted('a-1', first, 6));
    expect(await weights()).to.deep.equal(['6', '6', '6', '6']);
  });

  it('is published from the only zone that reaches the log', async () => {
    cluster.partitions.partitionLog('a-1', 'a-2', 'b-1');
    await cluster.awaitVersion(await accepted('b-2', first, 7));
    expect(await weights()).to.deep.equal(['7', '7', '7', '7']);
  });

  it('lists the hosts that are behind until they have applied the version', async () => {
    cluster.partitions.partitionZone('b');
    const version = await accepted('a-1', first, 8);
    const lines: string[] = [];
    const add = (line: string) => void lines.push(line);
    const terminal = {out: add, error: add};
    const client = cluster.operator('a-2');
    const late = await awaitInForce(terminal, client, version, 0);
    expect(late).to.equal(EXIT_CODE.behind);
    expect(lines.join('\n')).to.match(/b-1.*no answer\n.*b-2.*no answer/);
    cluster.partitions.heal();
    const done = await awaitInForce(terminal, client, version, 30);
    expect(done).to.equal(EXIT_CODE.ok);
    await cluster.awaitVersion(version);
  });

  it('does not revert after an outage longer than the retention', async () => {
    await stop();
    await start(RETENTION_MS);
    cluster.partitions.partitionZone('b');
    const version = await accepted('a-1', first, 9);
    await cluster.awaitStatus(
      ({zone, configVersion}) => zone === 'b' || configVersion === version,
    );
    cluster.log.faults = {...cluster.log.faults, down: true};
    await cluster.until(() => cluster.log.records('config').length === 0);
    // The zone that is behind is the first to reach the log again.
    cluster.partitions.heal();
    cluster.partitions.partitionLog('a-1', 'a-2');
    cluster.partitions.partitionPeers('a-1', 'b-1');
    cluster.partitions.partitionPeers('a-1', 'b-2');
    cluster.partitions.partitionPeers('a-2', 'b-1');
    cluster.partitions.partitionPeers('a-2', 'b-2');
    cluster.log.faults = {...cluster.log.faults, down: false};
    await cluster.until(() => cluster.log.records('config').length > 0);
    cluster.partitions.heal();
    await cluster.awaitVersion(version);
    cluster.daemon('b-2').kill();
    await cluster.startDaemon('b-2');
    expect(await weights()).to.deep.equal(['9', '9', '9', '9']);
  });

  it('starts a new host from its peers while the log is down', async () => {
    const version = await accepted('a-1', first, 10);
    cluster.daemon('a-2').kill();
    cluster.log.faults = {...cluster.log.faults, down: true};
    const started = await cluster.startDaemon('a-2', ['a-1', 'b-1']);
    expect(started.configVersion).to.equal(version);
    const answer = await cluster.caller('a-2').chat('hello', {key: 'fc-none'});
    expect(answer.status).to.equal(401);
    cluster.log.faults = {...cluster.log.faults, down: false};
    await cluster.until(async () => {
      const retried = await cluster.caller('a-2').chat('hello');
      return retried.end === CALLER_END.served;
    });
  });

  it('refuses requests as not run on routes that need a newer configuration', async () => {
    const fields = {
      model: 'drafter',
      teams: 'inspectors',
      max_config_age: '5s',
    };
    const publication = delta(first, [{kind: 'route', name: 'strict', fields}]);
    const client = cluster.operator('a-1');
    const {version} = (await client.publish(publication))._unsafeUnwrap();
    await cluster.awaitVersion(version);
    const ask = (route: string) => cluster.caller('a-1').chat('x', {route});
    expect((await ask('strict')).end).to.equal(CALLER_END.served);
    cluster.partitions.partitionZone('a');
    await cluster.until(async () => {
      const {code, end} = await ask('strict');
      return code === 'config-too-old' && end === CALLER_END.notRun;
    });
    expect((await ask('draft')).end).to.equal(CALLER_END.served);
    cluster.partitions.heal();
    await cluster.until(
      async () => (await ask('strict')).end === CALLER_END.served,
    );
  });
});
