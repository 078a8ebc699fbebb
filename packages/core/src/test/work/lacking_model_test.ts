import {Result, err, ok} from 'neverthrow';
import {expect} from 'chai';
import {ModelSearch} from '../../lib/gateway/model_finder.js';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {RelayCall} from '../../lib/gateway/relay_call.js';
import {TargetSearch} from '../../lib/gateway/target_search.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {UncheckedPaths} from '../../lib/paths/path_view.js';
import {REFUSAL, Refusal, refuse} from '../../lib/requests/outcome.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {ENGINE_SERVICE, routeRule} from '../gateway/gateway_fixtures.js';
import {FakeCaller, NoModels} from '../gateway/relay_fixtures.js';
import {engineTarget, workModel, workState} from './work_fixtures.js';

const DEMAND = {model: 'm0', adapter: undefined};

/** A lease holder that names a target unless the request excludes it. */
class StubbornHolder extends NoModels {
  searches = 0;

  constructor(
    clock: ManualClock,
    private readonly targets: TargetTable,
  ) {
    super(clock);
  }

  override async find(
    search: ModelSearch,
  ): Promise<Result<KnownTarget, Refusal>> {
    this.searches += 1;
    const named = this.targets.get('t0')!;
    if (!search.tried.has('t0')) return ok(named);
    return err(refuse(REFUSAL.noCapacity, 'no target has it', 500));
  }
}

function world() {
  const clock = new ManualClock();
  const targets = new TargetTable(clock);
  const target = targets.put(engineTarget('t0'), true);
  const models = new StubbornHolder(clock, targets);
  const work = workModel(clock);
  const random = new Random(1);
  const state = workState();
  const parts = {clock, random, state, targets, models, work, zone: 'a'};
  const paths = new UncheckedPaths();
  const search = new TargetSearch({...parts, paths});
  const caller = new FakeCaller(clock);
  caller.demand = DEMAND;
  const route = routeRule({kind: REQUEST_KIND.stream, timeoutMs: 12_000});
  const call = new RelayCall(clock, caller, route, undefined, 12_000);
  call.service = ENGINE_SERVICE;
  const found: {target?: KnownTarget; reason?: string} = {};
  const find = () =>
    void search.find(caller, call).then(result => {
      if (result.isErr()) found.reason = result.error.reason;
      else found.target = result.value;
    });
  const run = async (durationMs: number) => {
    for (let ms = 0; ms < durationMs; ms += 10) await clock.advance(10);
  };
  return {target, models, call, found, find, run};
}

describe('target that lacks the model', () => {
  it('is not asked again, although the holder and older views name it', async () => {
    const {target, models, call, found, find, run} = world();
    call.lacking.add(target, DEMAND);
    find();
    await run(30);
    target.replaceHeld([['m0', []]]);
    await run(1_000);
    expect(found.target).to.equal(undefined);
    expect(found.reason).to.equal(REFUSAL.noCapacity);
    expect(models.searches).to.be.below(10);
    call.dispose();
  });

  it('is asked again once newer information says that it has the model', async () => {
    const {target, call, found, find, run} = world();
    call.lacking.add(target, DEMAND);
    find();
    await run(30);
    target.replaceHeld([]);
    await run(100);
    expect(found.target).to.equal(undefined);
    target.replaceHeld([['m0', []]]);
    await run(100);
    expect(found.target).to.equal(target);
    call.dispose();
  });
});
