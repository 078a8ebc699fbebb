import {setMaxListeners} from 'node:events';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {Result, err} from 'neverthrow';
import {
  ConfigStore,
  LogError,
  LogRecord,
  ManualClock,
  Metrics,
  PlatformLog,
  Random,
  ReadOptions,
  RecordIdGenerator,
  SilentLogger,
  Verdict,
} from '../../index.js';
import {MemoryLog} from '../platform/memory_log.js';

const RETENTION_MS = 60_000;
const HOST_COUNT = 3;
const MAX_REPEATED = 30;

/** The connection of one host to the log, with fault injection. */
class FaultyLog extends PlatformLog {
  isCut = false;
  loseAnswers = 0;

  constructor(private readonly inner: MemoryLog) {
    super();
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
  ): Promise<Result<number[], LogError>> {
    if (this.isCut) return lost();
    const answer = await this.inner.append(stream, records);
    if (this.loseAnswers === 0) return answer;
    this.loseAnswers -= 1;
    return lost();
  }

  override async read(stream: string, from: number, options: ReadOptions) {
    if (this.isCut) return lost();
    const page = await this.inner.read(stream, from, options);
    return this.isCut ? lost() : page;
  }
}

function lost(): Result<never, LogError> {
  return err({type: 'log-unavailable', message: 'lost'});
}

/** Several hosts that share a log with a short retention. */
class TestCluster {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog(this.clock, RETENTION_MS);
  readonly logs = Array.from(
    {length: HOST_COUNT},
    () => new FaultyLog(this.log),
  );
  readonly stores: ConfigStore[] = [];
  readonly verdicts = new Map<string, Verdict>();
  private readonly stops: AbortController[] = [];
  private started = 0;
  private published = 0;

  constructor() {
    for (let host = 0; host < HOST_COUNT; host++) this.restart(host);
  }

  restart(host: number): void {
    this.stops[host]?.abort();
    this.stops[host] = new AbortController();
    setMaxListeners(0, this.stops[host].signal);
    this.started += 1;
    this.stores[host] = new ConfigStore({
      log: this.logs[host],
      clock: this.clock,
      logger: new SilentLogger(),
      metrics: new Metrics(),
      ids: new RecordIdGenerator(`h${this.started}`),
      random: new Random(this.started),
      retentionMs: RETENTION_MS,
    });
    void this.stores[host].run(this.stops[host].signal);
  }

  isHeldElsewhere(host: number): boolean {
    const {version} = this.stores[host].state;
    return this.stores.some(
      (other, index) => index !== host && other.state.version >= version,
    );
  }

  publish(host: number, team: number): void {
    const store = this.stores[host];
    const id = `p${this.published++}`;
    const fields = {weight: String(this.published)};
    const body = {
      type: 'publication' as const,
      base: store.state.version,
      changes: [{kind: 'team' as const, name: `t${team}`, fields}],
      message: '',
    };
    void store.publish(body, this.stops[host].signal, id).then(verdict => {
      if (verdict.isOk()) this.verdicts.set(id, verdict.value);
    });
  }

  /** Appends a recent record again, as a retry after a lost response does. */
  repeat(pick: number): void {
    if (this.log.isDown) return;
    const late = this.log.appended.slice(-MAX_REPEATED);
    if (late.length === 0) return;
    const {id, body} = late[pick % late.length];
    this.log.add(id, body);
  }

  /** Publishes a record that expires before one host can read it. */
  async loseRecords(unaware: number): Promise<void> {
    this.logs[unaware].isCut = true;
    this.publish((unaware + 1) % HOST_COUNT, 0);
    await this.clock.advance(1_000);
    this.log.isDown = true;
    await this.clock.advance(RETENTION_MS + 1_000);
    this.logs[unaware].isCut = false;
    this.log.isDown = false;
  }

  adopt(from: number, to: number): void {
    const source = this.stores[from].tail.reader;
    const {tail} = this.stores[to];
    if (!source.hasBase) return;
    const records = source.recordsFrom(tail.position);
    if (records !== undefined && tail.reader.hasBase) {
      tail.applyPage({records, next: source.position, first: 0});
    } else {
      tail.reader.adopt(source.snapshot(false, 0));
    }
  }

  stop(): void {
    for (const stop of this.stops) stop.abort();
  }
}

const host = fc.nat(HOST_COUNT - 1);
const step = fc.oneof(
  {weight: 4, arbitrary: fc.tuple(fc.constant('publish'), host, fc.nat(2))},
  {weight: 4, arbitrary: fc.tuple(fc.constant('wait'), fc.nat(20), fc.nat(0))},
  {weight: 1, arbitrary: fc.tuple(fc.constant('wait'), fc.nat(150), fc.nat(0))},
  {weight: 2, arbitrary: fc.tuple(fc.constant('cut'), host, fc.nat(1))},
  {weight: 1, arbitrary: fc.tuple(fc.constant('down'), fc.nat(1), fc.nat(0))},
  {weight: 1, arbitrary: fc.tuple(fc.constant('lose'), host, fc.nat(2))},
  {
    weight: 2,
    arbitrary: fc.tuple(fc.constant('repeat'), fc.nat(99), fc.nat(0)),
  },
  {weight: 1, arbitrary: fc.tuple(fc.constant('forget'), host, fc.nat(0))},
  {weight: 1, arbitrary: fc.tuple(fc.constant('adopt'), host, host)},
  {
    weight: 1,
    arbitrary: fc.tuple(fc.constant('restart'), fc.nat(0), fc.nat(0)),
  },
);

type Step = [string, number, number];

async function perform(
  cluster: TestCluster,
  [kind, a, b]: Step,
): Promise<void> {
  switch (kind) {
    case 'publish':
      return cluster.publish(a, b);
    case 'wait':
      return cluster.clock.advance(a * 1_000);
    case 'cut':
      cluster.logs[a].isCut = b === 1;
      return;
    case 'down':
      cluster.log.isDown = a === 1;
      return;
    case 'lose':
      cluster.logs[a].loseAnswers = b;
      return;
    case 'repeat':
      return cluster.repeat(a);
    case 'forget':
      return cluster.loseRecords(a);
    case 'adopt':
      return cluster.adopt(a, b);
    default:
      // A restart would lose a version that no other host holds for good.
      if (cluster.isHeldElsewhere(HOST_COUNT - 1))
        cluster.restart(HOST_COUNT - 1);
  }
}

async function runSteps(steps: Step[]): Promise<void> {
  const cluster = new TestCluster();
  let before: ConfigStore[] = [];
  let versions: number[] = [];
  const checkVersionsNeverDecrease = () => {
    cluster.stores.forEach((store, index) => {
      if (store !== before[index]) return;
      expect(store.state.version).to.be.at.least(versions[index]);
    });
    before = [...cluster.stores];
    versions = before.map(store => store.state.version);
  };
  for (const one of steps) {
    await perform(cluster, one);
    await cluster.clock.advance(10);
    checkVersionsNeverDecrease();
  }
  cluster.log.isDown = false;
  for (const log of cluster.logs) log.isCut = false;
  for (let second = 0; second < 100; second++) {
    await cluster.clock.advance(1_000);
    checkVersionsNeverDecrease();
  }
  const [first, ...others] = cluster.stores.map(({state}) => state);
  for (const other of others) {
    expect(other.version).to.equal(first.version);
    expect(other.rawObjects()).to.deep.equal(first.rawObjects());
  }
  for (const [id, verdict] of cluster.verdicts) {
    for (const state of [first, ...others]) {
      expect(state.verdictOf(id) ?? verdict).to.deep.equal(verdict);
    }
  }
  cluster.stop();
}

describe('ConfigStore', () => {
  it('converges to the same version on all hosts and never decreases it', async () => {
    const steps = fc.array(step as fc.Arbitrary<Step>, {maxLength: 40});
    await fc.assert(fc.asyncProperty(steps, runSteps), {numRuns: 60});
  }).timeout(120_000);
});
