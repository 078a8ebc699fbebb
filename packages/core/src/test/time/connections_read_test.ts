import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {whenConnectionsRead} from '../../lib/time/connections_read.js';

const SLOW_TURN_MS = 120;

/** Slow turns that take longer together than any wait for a quick one. */
const SLOW_TURNS = 12;

/** Makes the next turns of the event loop slow; returns how many have ended. */
function slowTurns(count: number): () => number {
  let ended = 0;
  const hold = () => {
    const endMs = performance.now() + SLOW_TURN_MS;
    while (performance.now() < endMs);
    ended += 1;
    if (ended < count) globalThis.setImmediate(hold);
  };
  globalThis.setImmediate(hold);
  return () => ended;
}

describe('whenConnectionsRead', () => {
  it('waits until a turn of the event loop is quick', async () => {
    const ended = slowTurns(3);
    expect(await whenConnectionsRead()).to.equal(true);
    expect(ended()).to.equal(3);
  });

  it('gives up while no turn is quick', async () => {
    const ended = slowTurns(SLOW_TURNS);
    expect(await whenConnectionsRead()).to.equal(false);
    expect(ended()).to.be.below(SLOW_TURNS);
    // The rest would slow other tests down.
    while (ended() < SLOW_TURNS) await setImmediate();
  });
});
