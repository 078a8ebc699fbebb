import {expect} from 'chai';
import {createKey} from '@fuchsiacleat/core';
import {CALLER_END, LocalCluster, sampleDeclarations} from '../../index.js';

const other = createKey();

describe('promise: team-only', () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'b'}],
      services: [{name: 'registry-1', zone: 'b'}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
      {kind: 'team', name: 'others', fields: {}},
      {
        kind: 'key',
        name: 'others-1',
        fields: {team: 'others', digest: other.digest},
      },
      {
        kind: 'route',
        name: 'public',
        fields: {targets: 'registry-1', open: 'yes'},
      },
    ]);
  });

  after(() => cluster.kill());

  const strangers: Array<{who: string; key: string | null; status: number}> = [
    {who: 'nobody', key: null, status: 401},
    {who: 'an unknown key', key: 'fc-unknown', status: 401},
    {who: 'a digest in place of its key', key: other.digest, status: 401},
    {who: "another team's key", key: other.key, status: 403},
  ];
  for (const host of ['a-1', 'b-1']) {
    for (const {who, key, status} of strangers) {
      it(`runs nothing for ${who} at ${host}`, async () => {
        const chat = await cluster.caller(host).chat('steal', {key});
        const call = await cluster.caller(host).service('steal', {key});
        for (const answer of [chat, call]) {
          expect(answer.status).to.equal(status);
          expect(answer.end).to.equal(CALLER_END.notRun);
        }
        const {runs} = cluster.engines.get('pool-1')!;
        const calls = cluster.services.get('registry-1')!.runs;
        expect(runs.filter(run => run.text === 'steal')).to.be.empty;
        expect(calls.filter(run => run.body === 'steal')).to.be.empty;
      });
    }
  }

  it('runs nothing for a team that lost the route while the log is down', async () => {
    await cluster.publish([
      {
        kind: 'route',
        name: 'draft',
        fields: {model: 'drafter', teams: 'others'},
      },
    ]);
    cluster.log.faults = {...cluster.log.faults, down: true};
    const answer = await cluster.caller('a-1').chat('withdrawn');
    cluster.log.faults = {...cluster.log.faults, down: false};
    expect(answer.status).to.equal(403);
    const {runs} = cluster.engines.get('pool-1')!;
    expect(runs.filter(run => run.text === 'withdrawn')).to.be.empty;
  });

  it('serves an open route without a key', async () => {
    const caller = cluster.caller('a-1');
    const answer = await caller.service('hello', {route: 'public', key: null});
    expect(answer.end).to.equal(CALLER_END.served);
  });
});
