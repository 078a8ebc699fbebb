import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {RelayCall} from '../../lib/gateway/relay_call.js';
import {TargetSearch} from '../../lib/gateway/target_search.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {UncheckedPaths} from '../../lib/paths/path_view.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {ENGINE_SERVICE, routeRule} from '../gateway/gateway_fixtures.js';
import {FakeCaller, NoModels} from '../gateway/relay_fixtures.js';
import {
  KV_TOKENS,
  SLOTS,
  engineTarget,
  workModel,
  workState,
} from './work_fixtures.js';

const STEP_MS = 5;

function world() {
  const clock = new ManualClock();
  const targets = new TargetTable(clock);
  targets.put(engineTarget('t0'), true);
  const work = workModel(clock);
  const search = new TargetSearch({
    clock,
    random: new Random(1),
    state: workState(),
    targets,
    models: new NoModels(clock),
    work,
    zone: 'a',
    paths: new UncheckedPaths(),
  });
  const target = targets.get('t0')!;
  const setRunning = (running: number) =>
    work.applyPublished(target, {
      sums: {waiting: 0, running, prefillTokens: 0, memoryTokens: 0},
      pace: {log: 0, count: 0},
    });
  /** Searches a target; the time of the result is kept as well. */
  const find = (priority: number, promptTokens = 100) => {
    const caller = new FakeCaller(clock);
    caller.demand = {model: 'm0', adapter: undefined};
    caller.tokens = {prompt: promptTokens, output: 100};
    const kind = REQUEST_KIND.stream;
    const route = routeRule({kind, priority, timeoutMs: 12_000});
    const call = new RelayCall(clock, caller, route, undefined, 12_000);
    call.service = ENGINE_SERVICE;
    const found: {target?: KnownTarget; reason?: string; ms?: number} = {};
    void search.find(caller, call).then(result => {
      found.ms = clock.now();
      if (result.isErr()) found.reason = result.error.reason;
      else {
        found.target = result.value;
        const requestWork = work.workOf(ENGINE_SERVICE, caller, 400)!;
        work.begin(result.value, requestWork, true);
      }
      call.dispose();
    });
    return found;
  };
  const run = async (durationMs: number) => {
    for (let ms = 0; ms < durationMs; ms += STEP_MS)
      await clock.advance(STEP_MS);
  };
  return {clock, search, setRunning, find, run};
}

describe('wait for room at this host', () => {
  it('holds a request back from a full target, and sends it once there is room', async () => {
    const {find, run, setRunning} = world();
    setRunning(2 * SLOTS);
    const found = find(0);
    await run(300);
    expect(found.ms).to.equal(undefined);
    setRunning(SLOTS / 2);
    await run(30);
    expect(found.target?.registration.id).to.equal('t0');
  });

  it('lets urgent requests go first, also when they arrive later', async () => {
    const {find, run, search, setRunning} = world();
    setRunning(2 * SLOTS);
    const lesser = find(3);
    await run(50);
    const urgent = find(0);
    await run(50);
    expect(search.waiting.size).to.equal(2);
    setRunning(SLOTS);
    await run(30);
    expect(urgent.target).to.not.equal(undefined);
    expect(lesser.ms).to.equal(undefined);
    setRunning(SLOTS / 2);
    await run(30);
    expect(lesser.target).to.not.equal(undefined);
    expect(search.waiting.size).to.equal(0);
  });

  it('refuses a stream as not run when its caller no longer waits', async () => {
    const {find, run, setRunning} = world();
    const found = find(0);
    await run(10);
    expect(found.target).to.not.equal(undefined);
    setRunning(2 * SLOTS);
    const late = find(0);
    for (let i = 0; i < 20; i++) {
      setRunning(2 * SLOTS);
      await run(100);
    }
    expect(late.reason).to.equal(REFUSAL.noCapacity);
  });

  it('sends as before once the sums of all hosts are too old', async () => {
    const {find, run, setRunning} = world();
    setRunning(2 * SLOTS);
    const found = find(0);
    await run(990);
    expect(found.ms).to.equal(undefined);
    await run(60);
    expect(found.target?.registration.id).to.equal('t0');
  });

  it('refuses a prompt that no target can hold at once', async () => {
    const {find, run} = world();
    const found = find(0, KV_TOKENS + 1);
    await run(STEP_MS);
    expect(found.reason).to.equal(REFUSAL.tooLarge);
  });
});
