import {expect} from 'chai';
import OpenAI, {APIError} from 'openai';
import {expectedToken} from '@fuchsiacleat/standins';
import {LocalCluster, SAMPLE_KEY, sampleDeclarations} from '../index.js';

const PROMPT = 'Draft the summary.';
const TOKENS = 6;

describe('the openai client package', () => {
  let cluster: LocalCluster;
  let client: OpenAI;

  before(async () => {
    cluster = await LocalCluster.start({
      hosts: [{name: 'a-1', zone: 'a'}],
      engines: [{name: 'pool-1', zone: 'a'}],
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations(),
    ]);
    client = clientWith(SAMPLE_KEY);
  });

  after(() => cluster.kill());

  function clientWith(apiKey: string): OpenAI {
    const baseURL = `${cluster.callerUrl('a-1')}/v1`;
    return new OpenAI({apiKey, baseURL, maxRetries: 0});
  }

  it('lists models', async () => {
    const {data} = await client.models.list();
    expect(data.map(({id}) => id)).to.have.members(['draft', 'draft-gujarati']);
  });

  it('streams a chat', async () => {
    const stream = await client.chat.completions.create({
      model: 'draft',
      stream: true,
      max_tokens: TOKENS,
      messages: [{role: 'user', content: PROMPT}],
    });
    const tokens: string[] = [];
    let finish: string | null = null;
    for await (const {choices} of stream) {
      tokens.push(choices[0].delta.content ?? '');
      finish = choices[0].finish_reason;
    }
    const expected = Array.from({length: TOKENS}, (unused, offset) =>
      expectedToken(PROMPT, offset),
    );
    expect(tokens.join('')).to.equal(expected.join(''));
    expect(finish).to.equal('length');
  });

  it('completes a prompt', async () => {
    const {choices, usage} = await client.completions.create({
      model: 'draft',
      max_tokens: 1,
      prompt: PROMPT,
    });
    expect(choices[0].text).to.equal(expectedToken(PROMPT, 0));
    expect(usage?.completion_tokens).to.equal(1);
  });

  it('reports a wrong key as an APIError', async () => {
    const error: unknown = await clientWith('fc-wrong')
      .models.list()
      .then(
        () => undefined,
        problem => problem,
      );
    expect(error).to.be.instanceOf(APIError);
    expect(error).to.include({status: 401, code: 'unauthenticated'});
  });
});
