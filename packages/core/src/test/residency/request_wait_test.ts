import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {ModelFinder, ModelSearch} from '../../lib/gateway/model_finder.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {REFUSAL, Refusal, refuse} from '../../lib/requests/outcome.js';
import {
  ENGINE_SERVICE,
  routeRule,
  targetRegistration,
} from '../gateway/gateway_fixtures.js';
import {
  FakeCaller,
  NoModels,
  RelayWorld,
  answer,
  relayWorld,
} from '../gateway/relay_fixtures.js';
import {EngineWorld} from './engine_world.js';

const STEP_MS = 25;
const TIMEOUT_MS = 1_500;
const MODELS = ['m0', 'm1', 'm2'];

/** Asks the controller of the same host, like the host with the lease. */
class OwnController extends NoModels {
  constructor(
    private readonly engines: EngineWorld,
    private readonly targets: TargetTable,
    clock: RelayWorld['clock'],
  ) {
    super(clock);
  }

  override async find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>> {
    const {model, adapter} = search.demand;
    const {controller} = this.engines;
    const request = {...search, model, adapter, giveUpMs: search.deadlineMs};
    const found = await controller.find(request, signal);
    if (found.isOk()) return ok(this.targets.get(found.value)!);
    const {retryAfterMs} = found.error;
    return err(refuse(REFUSAL.noCapacity, 'no model', retryAfterMs));
  }
}

interface HolderWorld {
  world: RelayWorld;
  caller: FakeCaller;
  advance(durationMs: number): Promise<void>;
}

/** A relay on the host that decides which models its targets hold. */
async function holderWorld(): Promise<HolderWorld> {
  const engines = new EngineWorld([MODELS]);
  while ([...engines.registry.all()].length === 0)
    await engines.clock.advance(STEP_MS);
  // No model can be unloaded while its requests run.
  for (const model of MODELS) engines.engines.get('e1')!.running.set(model, 1);
  engines.report(
    MODELS.map(model => ['e1', model, 1]),
    {m0: 5, m1: 5, m2: 0.1},
  );
  const world = relayWorld({
    route: routeRule({
      timeoutMs: TIMEOUT_MS,
      shares: [{service: ENGINE_SERVICE, weight: 1}],
    }),
    behaviors: [() => answer(200, ['ok'])],
    models: (clock, targets): ModelFinder =>
      new OwnController(engines, targets, clock),
  });
  await world.clock.advance(engines.clock.now());
  world.freshness.confirm(world.clock.now());
  const caller = new FakeCaller(world.clock);
  caller.demand = {model: 'm7', adapter: undefined};
  const advance = async (durationMs: number) => {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      await world.clock.advance(STEP_MS);
      await engines.clock.advance(STEP_MS);
    }
  };
  return {world, caller, advance};
}

describe('Relay of the host that decides about models', () => {
  it('ends a request whose caller disconnects while it waits', async () => {
    const {world, caller, advance} = await holderWorld();
    void world.relay.handle(caller);
    await advance(300);
    caller.disconnect.abort();
    await advance(300);
    expect(world.observer.traces[0]?.outcome.type).to.equal('cancelled');
  });

  it('refuses a request that waits for a model when it stops', async () => {
    const {world, caller, advance} = await holderWorld();
    void world.relay.handle(caller);
    await advance(500);
    world.relay.refuseWaiting();
    await advance(500);
    expect(caller.refusal?.reason).to.equal(REFUSAL.stopping);
  });

  it('sends a request once the limit of its target allows it', async () => {
    const {world, caller, advance} = await holderWorld();
    const target = world.targets.put(
      targetRegistration({
        id: 'limited',
        service: ENGINE_SERVICE,
        held: [{model: 'm7', adapters: []}],
      }),
      true,
    );
    world.targets.recordLimit(target, 20);
    target.throttle(200);
    void world.relay.handle(caller);
    await advance(5 * TIMEOUT_MS);
    expect(caller.body).to.equal('ok');
  });
});
