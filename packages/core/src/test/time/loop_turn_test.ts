import {expect} from 'chai';
import {readConnections} from '../../lib/time/loop_turn.js';

const SLOW_TURN_MS = 120;

/** Makes the next turns of the event loop slow; returns how many have ended. */
function slowTurns(count: number): () => number {
  let ended = 0;
  const hold = () => {
    const endMs = performance.now() + SLOW_TURN_MS;
    while (performance.now() < endMs);
    ended += 1;
    if (ended < count) setImmediate(hold);
  };
  setImmediate(hold);
  return () => ended;
}

describe('readConnections', () => {
  it('waits until a turn of the event loop is quick', async () => {
    const ended = slowTurns(4);
    expect(await readConnections()).to.equal(true);
    expect(ended()).to.equal(4);
  });

  it('gives up while no turn is quick', async () => {
    const ended = slowTurns(20);
    expect(await readConnections()).to.equal(false);
    expect(ended()).to.be.within(8, 12);
  });
});
