import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {BODY_END, NOT_RUN} from '../../lib/gateway/target_port.js';
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

/** Longer than a target is avoided after a failure. */
const AVOIDED_MS = 1_000;

/** Id of each request. */
const STREAM = 'req-1';

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

  describe('where a target starts again before it registers', () => {
    /** Plays the end of the only target, whose successor then listens. */
    async function endTarget(plays: TargetBehavior[]): Promise<RelayWorld> {
      const world = worldWith(['v1'], [broken, ...plays]);
      world.port.ended.add('t0');
      await world.run(new FakeCaller(world.clock));
      world.port.ended.delete('t0');
      await world.clock.advance(AVOIDED_MS);
      world.freshness.confirm(world.clock.now());
      return world;
    }

    // The successor may run another version than the process that registered.
    it('does not go on there with a stream of the registered version', async () => {
      const world = await endTarget([rest]);
      await world.run(resuming(world, STREAM));
      expect(world.port.sent).to.have.lengthOf(1);
    });

    it('goes on there once it has registered with that version', async () => {
      const world = await endTarget([rest]);
      const registered = {id: 't0', zone: 'a', softwareVersion: 'v1'};
      const startedMs = world.targets.get('t0')!.registration.startedMs + 1;
      world.targets.put(targetRegistration({...registered, startedMs}), true);
      const caller = resuming(world, STREAM);
      await world.run(caller);
      expect(caller.body).to.equal(event(2) + event(3));
    });

    // The version that began such a stream is not known to any host.
    it('does not go on anywhere with a stream that began there', async () => {
      const world = await endTarget([broken, rest]);
      await world.run(new FakeCaller(world.clock));
      const caller = resuming(world, STREAM);
      await world.run(caller);
      expect(world.port.sent).to.have.lengthOf(2);
      expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    });

    it('takes a refused connection for the end of a target that was heard', async () => {
      const refused: TargetBehavior = () => ({
        type: 'not-run',
        reason: NOT_RUN.unreachable,
        isRefused: true,
      });
      const plays = [broken, refused, rest];
      const world = worldWith(['v1'], plays);
      await world.run(new FakeCaller(world.clock));
      await world.clock.advance(AVOIDED_MS);
      await world.run(resuming(world, STREAM));
      await world.clock.advance(AVOIDED_MS);
      world.freshness.confirm(world.clock.now());
      await world.run(resuming(world, STREAM));
      expect(world.port.sent).to.have.lengthOf(2);
    });
  });
});
