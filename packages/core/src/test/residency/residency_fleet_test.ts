import {expect} from 'chai';
import {FleetWorld} from './fleet_world.js';

const TARGETS = 30;
const STEP_MS = 100;

async function startSettledFleet(count: number): Promise<FleetWorld> {
  const world = new FleetWorld(count, TARGETS);
  await world.run(4_000);
  expect(world.connectedCount).to.equal(count);
  return world;
}

for (const count of [9, 81, 195]) {
  describe(`${count} hosts in one process`, () => {
    it('divide shared limits by the real number of hosts', async () => {
      const world = await startSettledFleet(count);
      for (const {residency} of world.hosts) {
        expect(residency.hostCount).to.equal(count);
      }
    });

    it('never underestimate the host count while a new holder receives reports', async () => {
      const world = await startSettledFleet(count);
      world.kill(world.holder);
      for (let ms = 0; ms < 6_000; ms += STEP_MS) {
        await world.run(STEP_MS);
        for (const {residency, stop} of world.hosts) {
          if (stop.signal.aborted) continue;
          expect(residency.hostCount).to.be.at.least(count - 1);
        }
      }
      expect(world.connectedCount).to.be.at.least(count - 1);
    });

    it('send a restarted host the models of all targets within a second', async () => {
      const world = await startSettledFleet(count);
      const i = (world.holder + 1) % count;
      world.kill(i);
      await world.run(500);
      world.restart(i);
      await world.run(1_000);
      const {residency, targets} = world.hosts[i];
      expect(residency.hasCurrentView).to.equal(true);
      expect(residency.hostCount).to.be.at.least(count);
      const known = world.hosts[world.holder].targets;
      let holding = 0;
      for (const {registration, held} of targets.all()) {
        const models = [...held.keys()];
        expect(models).to.deep.equal([
          ...known.get(registration.id)!.held.keys(),
        ]);
        if (models.includes('m1')) holding += 1;
      }
      expect(holding).to.be.above(0);
    });
  });
}
