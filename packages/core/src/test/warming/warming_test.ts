import {expect} from 'chai';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {ColdHealthCheck} from '../../lib/warming/cold_health_check.js';
import {ColdMonitor} from '../../lib/warming/cold_monitor.js';
import {DEFAULT_COLD_BOUNDS} from '../../lib/warming/cold_pace.js';
import {COLD_SOURCE, ColdSpec} from '../../lib/warming/target_warming.js';
import {Warming} from '../../lib/warming/warming.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';

const SPEC: ColdSpec = {coldMs: 3_000, perSecond: 13};
/** Unix time of the tests, long after the process of the target started. */
const NOW_MS = 1_000_000;
const FIELD_AGE_MS = 3_500;

describe('Warming', () => {
  let clock: ManualClock;
  let targets: TargetTable;
  let warming: Warming;
  let spec: ColdSpec | undefined;
  let hasList: boolean;
  let endedMs: number | undefined;

  beforeEach(() => {
    clock = new ManualClock(NOW_MS);
    spec = SPEC;
    hasList = true;
    endedMs = undefined;
    warming = new Warming({
      clock,
      spec: () => spec,
      isDeclared: () => spec !== undefined,
      bounds: DEFAULT_COLD_BOUNDS,
      hostCount: () => 63,
      hasList: () => hasList,
      evacuations: {endedMs: () => endedMs},
    });
    targets = new TargetTable(clock, undefined, warming);
  });

  /** Adds or updates the target; `leftMs` is what its registration says. */
  function put(leftMs?: number, startedMs = 1) {
    const cold =
      leftMs === undefined ? undefined : {leftMs, ageMs: FIELD_AGE_MS};
    return targets.put(targetRegistration({startedMs, cold}), true);
  }

  it('takes a process that is new to a known list for cold', async () => {
    const target = put();
    expect(target.coldLeftMs).to.equal(3_000);
    expect(target.effectiveSlots).to.be.below(target.registration.slots + 1);
    await clock.advance(3_000);
    expect(target.coldLeftMs).to.equal(0);
    expect(target.requestsPerSecond).to.equal(undefined);
    expect(put(undefined, 2).coldLeftMs).to.equal(3_000);
  });

  it('believes the registration of a process that was started meanwhile', () => {
    expect(put(0).coldLeftMs).to.equal(0);
    expect(put(1_200, 2).coldLeftMs).to.equal(1_200);
  });

  it('takes only young processes of the first list for cold', () => {
    hasList = false;
    expect(put().coldLeftMs).to.equal(0);
    expect(put(undefined, NOW_MS - 1_000).coldLeftMs).to.equal(3_000);
  });

  it('takes a target that is registered again for cold', async () => {
    put(0);
    await clock.advance(60_000);
    targets.remove('t1');
    expect(put().coldLeftMs).to.equal(3_000);
  });

  it('is never cold where the service declares nothing', () => {
    spec = undefined;
    endedMs = clock.now();
    const target = put(2_000);
    expect(target.requestsPerSecond).to.equal(undefined);
    expect(target.coldReport).to.equal(undefined);
    expect(targets.coldCount).to.equal(0);
  });

  it('does not believe a registration that may be older than the return of its zone', async () => {
    const target = put(0);
    await clock.advance(5_000);
    endedMs = clock.now();
    await clock.advance(1_000);
    put(0);
    expect(target.coldLeftMs).to.equal(2_000);
    put(2_900);
    expect(target.coldLeftMs).to.equal(2_900);
  });

  it('does not let an old registration shorten what a health response says', async () => {
    const target = put(0);
    await clock.advance(5_000);
    const {health} = COLD_SOURCE;
    targets.recordCold(target, {leftMs: 2_500, ageMs: 20}, health);
    put(0);
    expect(target.coldLeftMs).to.equal(2_500);
    await clock.advance(100);
    targets.recordCold(target, {leftMs: 0, ageMs: 20}, health);
    expect(target.coldLeftMs).to.equal(0);
  });

  it('lets the health of a target replace what its zone suggests', async () => {
    const target = put(0);
    endedMs = clock.now();
    await clock.advance(500);
    const {health} = COLD_SOURCE;
    targets.recordCold(target, {leftMs: 0, ageMs: 100}, health);
    expect(target.coldLeftMs).to.equal(0);
  });

  it('takes a target that could not be reached for restarted', () => {
    const target = put(0);
    targets.recordUnreachable(target);
    expect(target.coldLeftMs).to.be.at.least(SPEC.coldMs);
  });

  it('accepts from a peer only what is newer and makes it cold for longer', async () => {
    const target = put(0);
    await clock.advance(5_000);
    const {peer} = COLD_SOURCE;
    targets.recordCold(target, {leftMs: 2_000, ageMs: 9_000}, peer);
    expect(target.coldLeftMs).to.equal(0);
    targets.recordCold(target, {leftMs: 2_000, ageMs: 500}, peer);
    expect(target.coldLeftMs).to.equal(2_000);
    targets.recordCold(target, {leftMs: 0, ageMs: 0}, peer);
    expect(target.coldLeftMs).to.equal(2_000);
  });

  it('tells other hosts when a registration makes a target cold again', async () => {
    put(0);
    await clock.advance(5_000);
    const {revision} = targets;
    put(0);
    expect(targets.revision).to.equal(revision);
    put(2_700);
    const [change] = targets.changesSince(revision);
    expect(change.registration?.cold?.leftMs).to.equal(2_700);
  });

  it('is asked only about targets whose state is assumed', async () => {
    const target = put();
    let asked = 0;
    const readColdMs = async () => {
      asked += 1;
      return 700;
    };
    const isChecking = () => true;
    const reader = {readColdMs};
    const parts = {clock, targets, warming, reader, isChecking};
    const check = new ColdHealthCheck(parts);
    await check.check();
    await check.check();
    expect(asked).to.equal(1);
    expect(target.coldLeftMs).to.equal(700);
  });

  it('is logged once for each change, with a bound on the lines', async () => {
    const events: string[] = [];
    const logger = new SilentLogger();
    logger.info = event => void events.push(event);
    for (let i = 0; i < 30; i++)
      targets.put(targetRegistration({id: `t${i}`}), true);
    let changes = 0;
    const onChange = () => void (changes += 1);
    const parts = {clock, logger, targets, warming, onChange};
    const monitor = new ColdMonitor(parts);
    monitor.check();
    monitor.check();
    expect(targets.coldCount).to.equal(30);
    expect(events.filter(event => event === 'target_cold')).to.have.length(20);
    expect(events.at(-1)).to.equal('target_cold_omitted');
    await clock.advance(3_000);
    monitor.check();
    expect(events.filter(event => event === 'target_warm')).to.have.length(20);
    expect(changes).to.equal(2);
  });
});
