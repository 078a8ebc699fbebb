import {expect} from 'chai';
import {request} from 'undici';
import {expectedToken} from '@fuchsiacleat/standins';
import {LocalCluster, SAMPLE_KEY, sampleDeclarations} from '../index.js';

const PROMPT = 'Draft the summary.';
const TOKENS = 6;

function complete(cluster: LocalCluster, host: string, stream: boolean) {
  return request(`${cluster.callerUrl(host)}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${SAMPLE_KEY}`},
    body: JSON.stringify({
      model: 'draft',
      stream,
      max_tokens: TOKENS,
      messages: [{role: 'user', content: PROMPT}],
    }),
  });
}

const expectedText = Array.from({length: TOKENS}, (unused, offset) =>
  expectedToken(PROMPT, offset),
).join('');

describe('a request through the whole system', () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [
        {name: 'a-1', zone: 'a'},
        {name: 'b-1', zone: 'b'},
      ],
      engines: [{name: 'pool-1', zone: 'a'}],
      services: [{name: 'registry-1', zone: 'a'}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
    ]);
  });

  after(() => cluster.kill());

  it('streams a response through one host', async () => {
    const res = await complete(cluster, 'a-1', true);
    const events = (await res.body.text()).trim().split('\n\n');
    expect(res.statusCode).to.equal(200);
    expect(events.at(-1)).to.equal('data: [DONE]');
    const text = events
      .slice(0, -1)
      .map(event => JSON.parse(event.slice('data: '.length)))
      .map(chunk => chunk.choices[0].delta.content ?? '')
      .join('');
    expect(text).to.equal(expectedText);
  });

  it('responds through a peer in another zone', async () => {
    const res = await complete(cluster, 'b-1', false);
    const body = (await res.body.json()) as {
      choices: Array<{message: {content: string}}>;
    };
    expect(body.choices[0].message.content).to.equal(expectedText);
  });

  it('forwards a call to a plain service without the key', async () => {
    const url = `${cluster.callerUrl('a-1')}/services/filing/cases?id=7`;
    const res = await request(url, {
      method: 'POST',
      headers: {authorization: `Bearer ${SAMPLE_KEY}`},
      body: 'a filing',
    });
    expect(await res.body.json()).to.include({
      path: '/cases?id=7',
      received: 'a filing',
    });
    const [run] = cluster.services.get('registry-1')!.runs;
    expect(JSON.stringify(run)).not.to.contain(SAMPLE_KEY);
  });
});
