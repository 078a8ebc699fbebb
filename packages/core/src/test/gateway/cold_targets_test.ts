import {expect} from 'chai';
import {RegistrationSummary} from '../../lib/gateway/target_registration.js';
import {BODY_END, NOT_RUN} from '../../lib/gateway/target_port.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {
  COLD_SOURCE,
  ColdState,
  TargetWarming,
} from '../../lib/warming/target_warming.js';
import {routeRule} from './gateway_fixtures.js';
import {
  FakeCaller,
  RelayWorld,
  TargetBehavior,
  answer,
  relayWorld,
} from './relay_fixtures.js';

const LEFT_MS = 2_000;

/** Has targets that are cold at all times of a test. */
class ColdTargets extends TargetWarming {
  override readonly isDeclared = true;
  readonly ids = new Set<string>();

  override leftMs({id}: RegistrationSummary): number {
    return this.ids.has(id) ? LEFT_MS : 0;
  }

  override perSecond({id}: RegistrationSummary): number | undefined {
    return this.ids.has(id) ? 9 : undefined;
  }

  override stateOf(): ColdState {
    return {untilMs: LEFT_MS, asOfMs: 0, source: COLD_SOURCE.zone};
  }

  override recordRegistration(): boolean {
    return false;
  }

  override forget(): void {}

  override recordReport(): boolean {
    return false;
  }

  override recordUnreachable(): boolean {
    return false;
  }
}

async function serve(relay: RelayWorld): Promise<FakeCaller> {
  const caller = new FakeCaller(relay.clock);
  await relay.run(caller);
  return caller;
}

const served: TargetBehavior = () => answer(200, ['ok'], BODY_END.complete);

describe('Relay: cold targets', () => {
  let warming: ColdTargets;

  beforeEach(() => {
    warming = new ColdTargets();
  });

  function world(targetCount: number, behaviors: TargetBehavior[]): RelayWorld {
    const route = routeRule({maxTargets: 2});
    return relayWorld({route, behaviors, targetCount, warming});
  }

  it('does not write a request to a target that became cold after its choice', async () => {
    const withdrawn: TargetBehavior = ({canStillSend: mayLeave}) => {
      expect(mayLeave()).to.equal(true);
      warming.ids.add(relay.port.sent[0].target);
      expect(mayLeave()).to.equal(false);
      return {type: 'not-run', reason: NOT_RUN.withdrawn};
    };
    const relay = world(2, [withdrawn, served]);
    const caller = await serve(relay);
    expect(caller.isEnded).to.equal(true);
    const [first, second] = relay.port.sent.map(({target}) => target);
    expect(second).to.not.equal(first);
  });

  it('takes another target at once while a cold one has no room', async () => {
    warming.ids.add('t1');
    const relay = world(
      2,
      Array.from({length: 9}, () => served),
    );
    const startMs = relay.clock.now();
    for (let i = 0; i < 9; i++) await serve(relay);
    const targets = new Set(relay.port.sent.map(({target}) => target));
    expect([...targets]).to.deep.equal(['t2']);
    expect(relay.clock.now() - startMs).to.be.below(300);
  });

  it('refuses what a cold target does not take in time, with the time to return', async () => {
    warming.ids.add('t1');
    const relay = world(1, [served]);
    const caller = await serve(relay);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(caller.refusal?.retryAfterMs).to.be.within(1, 600);
    expect(relay.port.sent).to.have.lengthOf(0);
  });
});
