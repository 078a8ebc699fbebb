import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';

const OK = 200;

/** Keeps the event loop, and so every host of this process, busy. */
function block(forMs: number): void {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs);
}

describe('GatewayHost that was busy', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  it('does not send a request again whose answer has arrived meanwhile', async () => {
    for (const worker of world.plain) worker.workMs = 400;
    const answer = world.call(ROUTE_PATH.repeatable, {id: 'busy'});
    await sleep(200);
    block(2_100);
    expect((await answer).status).to.equal(OK);
    expect(world.countRuns('busy')).to.equal(1);
  });
});
