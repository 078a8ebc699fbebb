import {setTimeout as sleep} from 'node:timers/promises';
import {HOST_NAME, ROUTE_PATH} from '@fuchsiacleat/local-cluster';
import {expect} from 'chai';
import {request} from 'undici';
import {SOAK_KEY, SoakWorld} from '../lib/soak_world.js';

const READY_TIMEOUT_MS = 20_000;
const WORK_MS = 1_500;
const SIGNAL_GAP_MS = 300;

describe('Host process', () => {
  let world: SoakWorld;

  beforeEach(async () => {
    world = await SoakWorld.start(1);
    const isReady = () => world.hosts[0].isReady();
    await world.until(isReady, READY_TIMEOUT_MS);
  });

  afterEach(async () => {
    await world.stop();
  });

  it('answers requests in flight after a second SIGTERM', async () => {
    const [host] = world.hosts;
    for (const {standin} of world.workers) standin.workMs = WORK_MS;
    const answer = request(`${host.url}${ROUTE_PATH.once}`, {
      method: 'POST',
      body: 'x',
      headers: {
        host: HOST_NAME,
        'x-fuchsiacleat-attempt-id': 'r1',
        'x-fuchsiacleat-deadline-ms': '3000',
        'x-fuchsiacleat-key': SOAK_KEY.free,
      },
    });
    answer.catch(() => {});
    await sleep(SIGNAL_GAP_MS);
    host.signal('SIGTERM', true);
    await sleep(SIGNAL_GAP_MS);
    host.signal('SIGTERM', true);
    const res = await answer;
    expect(res.statusCode).to.equal(200);
    expect(await res.body.text()).to.equal('done r1');
  });
});
