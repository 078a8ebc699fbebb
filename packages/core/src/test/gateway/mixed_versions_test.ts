import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {BODY_END} from '../../lib/gateway/target_port.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {routeRule, targetRegistration} from './gateway_fixtures.js';
import {
  FakeCaller,
  RelayWorld,
  TargetBehavior,
  answer,
  relayWorld,
} from './relay_fixtures.js';

const route = routeRule({
  kind: REQUEST_KIND.stream,
  isResumable: true,
  maxTargets: 3,
});

/** Longer than a stream of the route can last. */
const LONG_MS = route.timeoutMs + 10_000;

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

const broken: TargetBehavior = () => answer(200, [event(1)], BODY_END.broken);
const rest: TargetBehavior = () => answer(200, [event(2), event(3)]);

/** Returns a relay with a target of each of the versions. */
function worldWith(
  versions: Array<string | undefined>,
  behaviors: TargetBehavior[],
): RelayWorld {
  const world = relayWorld({route, behaviors, targetCount: 0});
  for (const [i, softwareVersion] of versions.entries()) {
    const target = {id: `t${i}`, zone: 'a', softwareVersion};
    world.targets.put(targetRegistration(target), true);
  }
  return world;
}

/** Returns the versions of the targets that a request was sent to, in order. */
function versionsSent({port, targets}: RelayWorld): Array<string | undefined> {
  return port.sent.map(
    ({target}) => targets.get(target)?.registration.softwareVersion,
  );
}

function resuming(world: RelayWorld, resumedId?: string): FakeCaller {
  const caller = new FakeCaller(world.clock);
  caller.lastEventId = '1';
  caller.resumedId = resumedId;
  return caller;
}

describe('Relay: streams over several software versions', () => {
  it('continues a broken stream at a target of the version that began it', async () => {
    const world = worldWith(['v1', 'v1', 'v2', 'v2'], [broken, rest]);
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    const [first, second] = versionsSent(world);
    expect(second).to.equal(first);
    expect(caller.body).to.equal(event(1) + event(2) + event(3));
  });

  it('ends a broken stream at once when no other target runs its version', async () => {
    const last: TargetBehavior = options => {
      world.targets.remove(world.port.sent[0].target);
      return broken(options, world.clock);
    };
    const world = worldWith(['v1', 'v2', 'v3'], [last, rest]);
    const caller = new FakeCaller(world.clock);
    const startMs = world.clock.now();
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(caller.isAborted).to.equal(true);
    expect(world.clock.now() - startMs).to.be.below(1_000);
  });

  it('uses any version before the first event', async () => {
    const headOnly: TargetBehavior = () => answer(200, [], BODY_END.broken);
    const world = worldWith(['v1', 'v2'], [headOnly, rest]);
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.body).to.equal(event(2) + event(3));
    expect(new Set(versionsSent(world)).size).to.equal(2);
  });

  it('does not take two targets without a version for the same', async () => {
    const world = worldWith([undefined, undefined], [broken, rest]);
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(caller.isAborted).to.equal(true);
  });

  it('takes a stream up at the version that began it', async () => {
    const versions = ['v1', 'v1', 'v2', 'v2', 'v3', 'v3'];
    const plays = [broken, broken, ...Array.from({length: 8}, () => rest)];
    const world = worldWith(versions, plays);
    const first = new FakeCaller(world.clock);
    await world.run(first);
    for (let i = 0; i < 8; i++) {
      const again = resuming(world, first.id);
      await world.run(again);
    }
    expect(world.port.sent.length).to.be.above(8);
    expect(new Set(versionsSent(world)).size).to.equal(1);
  });

  it('refuses to take up a stream of unknown origin at once, as not run', async () => {
    const world = worldWith(['v1', 'v2'], [rest]);
    for (const id of [undefined, 'unknown']) {
      const caller = resuming(world, id);
      await world.run(caller);
      expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    }
    expect(world.port.sent).to.have.lengthOf(0);
  });

  it('takes up a stream of unknown origin while only one version has run', async () => {
    const world = worldWith(['v1', 'v1'], [rest]);
    await world.clock.advance(LONG_MS);
    world.freshness.confirm(world.clock.now());
    const caller = resuming(world);
    await world.run(caller);
    expect(caller.body).to.equal(event(2) + event(3));
  });
});
