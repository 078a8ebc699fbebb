import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {NOT_RUN} from '../../lib/gateway/target_port.js';
import {KnownTarget} from '../../lib/gateway/target_table.js';
import {
  PATH_VERDICT,
  PathVerdict,
  PathView,
} from '../../lib/paths/path_view.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {routeRule} from '../gateway/gateway_fixtures.js';
import {
  FakeCaller,
  TargetBehavior,
  answer,
  relayWorld,
} from '../gateway/relay_fixtures.js';

const once = routeRule({kind: REQUEST_KIND.once, maxTargets: 1});
const refused: TargetBehavior = () => ({
  type: 'not-run',
  reason: NOT_RUN.unreachable,
  isRefused: true,
});
const served: TargetBehavior = () => answer(200, ['ok']);

class FakePaths extends PathView {
  override hasLost = false;
  hasHelper = true;
  verdict: PathVerdict = PATH_VERDICT.lost;
  isConfirmed = false;

  override isLost(): boolean {
    return this.hasLost;
  }

  override canReach(): boolean {
    return !this.hasLost || this.hasHelper;
  }

  override async judge({health}: KnownTarget): Promise<PathVerdict> {
    if (this.verdict === PATH_VERDICT.lost) {
      this.hasLost = true;
      health.forgive();
    }
    return this.verdict;
  }

  override async confirmEnded(): Promise<boolean> {
    return this.isConfirmed;
  }
}

describe('Relay: paths to targets', () => {
  it('sends a request by the tunnel, to the target whose path was lost', async () => {
    const paths = new FakePaths();
    const behaviors = [refused, refused, served];
    const targetCount = 1;
    const world = relayWorld({route: once, behaviors, targetCount, paths});
    const target = world.targets.get('t1')!;
    target.recordHeard();
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.isEnded).to.equal(true);
    expect(target.hasEnded).to.equal(false);
    expect(target.health.isAvoided).to.equal(false);
    expect(world.clock.now()).to.be.below(200);
  });

  it('tries another helper after one that failed', async () => {
    const paths = new FakePaths();
    paths.hasLost = true;
    const noPath: TargetBehavior = () => ({
      type: 'not-run',
      reason: NOT_RUN.noPath,
    });
    const behaviors = [noPath, noPath, served];
    const world = relayWorld({route: once, behaviors, targetCount: 1, paths});
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.isEnded).to.equal(true);
    expect(world.clock.now()).to.be.below(50);
  });

  it('refuses at once if no target can be reached', async () => {
    const paths = new FakePaths();
    paths.hasLost = true;
    paths.hasHelper = false;
    const world = relayWorld({route: once, behaviors: [], paths});
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(caller.refusal?.retryAfterMs).to.be.above(0);
    expect(world.clock.now()).to.be.below(50);
  });

  it('does not avoid a target for a run that was lost with its path', async () => {
    const paths = new FakePaths();
    const lost: TargetBehavior = () => {
      paths.hasLost = true;
      return {type: 'lost', reason: 'ECONNRESET'};
    };
    const behaviors = [lost, served];
    const route = routeRule({maxTargets: 2});
    const world = relayWorld({route, behaviors, paths});
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.isEnded).to.equal(true);
    for (const {health} of world.targets.all())
      expect(health.isAvoided).to.equal(false);
  });

  for (const isConfirmed of [false, true]) {
    it(`marks a target that refuses it as ended: ${isConfirmed}`, async () => {
      const paths = new FakePaths();
      paths.verdict = PATH_VERDICT.unknown;
      paths.isConfirmed = isConfirmed;
      const world = relayWorld({
        route: once,
        behaviors: [refused, served],
        paths,
      });
      for (const target of world.targets.all()) target.recordHeard();
      await world.run(new FakeCaller(world.clock));
      const first = world.targets.get(world.port.sent[0].target)!;
      expect(first.hasEnded).to.equal(isConfirmed);
    });
  }
});
