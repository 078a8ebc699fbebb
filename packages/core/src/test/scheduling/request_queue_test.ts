import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {
  MAX_WAITING_PER_TEAM,
  ManualClock,
  PlacementClient,
  Refusal,
  ReplicaDirectory,
  RequestQueue,
  Slot,
  SlotDemand,
} from '../../index.js';

const SLOTS = 4;
const HOLD_MS = 100;
const TOKENS = 100;

interface FinishedRequest {
  demand: SlotDemand;
  atMs: number;
  result: Result<Slot, Refusal>;
}

/** A queue with a single target that serves each request for a fixed time. */
class QueueBench {
  readonly clock = new ManualClock();
  readonly directory = new ReplicaDirectory(this.clock);
  readonly ended: FinishedRequest[] = [];
  readonly queue: RequestQueue;
  private nextId = 0;
  private sequence = 0;

  constructor(
    weights: Record<string, number> = {},
    provide: () => Promise<Result<void, string>> = () => new Promise(() => {}),
  ) {
    const placement = {provide} as unknown as PlacementClient;
    const {clock, directory} = this;
    const weightOf = (team: string) => weights[team] ?? 1;
    this.queue = new RequestQueue({clock, directory, placement, weightOf});
  }

  updateDirectory(state: 'ready' | 'loading', readyInMs?: number): void {
    const resident = {model: 'm', version: 'm-1', adapters: [], readyInMs};
    this.directory.update({
      zone: 'a',
      fencing: 1,
      sequence: this.sequence++,
      targets: [
        {
          target: 't',
          slots: SLOTS,
          running: 0,
          leaving: false,
          residents: [{...resident, state}],
        },
      ],
    });
  }

  send(team: string, withinMs: number, signal?: AbortSignal): void {
    const demand: SlotDemand = {
      requestId: String(this.nextId++),
      team,
      model: 'm',
      adapter: undefined,
      tokens: TOKENS,
      deadlineMs: this.clock.now() + withinMs,
    };
    void this.run(demand, signal ?? new AbortController().signal);
  }

  /** Lets sent requests take their slots, then advances the clock. */
  async advance(durationMs: number): Promise<void> {
    await this.clock.advance(0);
    await this.clock.advance(durationMs);
  }

  started(team: string): FinishedRequest[] {
    return this.ended.filter(
      ({demand, result}) => demand.team === team && result.isOk(),
    );
  }

  private async run(demand: SlotDemand, signal: AbortSignal): Promise<void> {
    const result = await this.queue.acquire(demand, signal);
    this.ended.push({demand, atMs: this.clock.now(), result});
    if (result.isErr()) return;
    await this.clock.sleep(HOLD_MS);
    result.value.release();
  }
}

describe('RequestQueue', () => {
  it('divides the slots between teams by their weights', async () => {
    const bench = new QueueBench({heavy: 3});
    bench.updateDirectory('ready');
    for (let i = 0; i < 400; i++) bench.send('light', 60_000);
    for (let i = 0; i < 400; i++) bench.send('heavy', 60_000);
    await bench.advance(5_000);
    const heavy = bench.started('heavy').length;
    const light = bench.started('light').length;
    expect(heavy / light).to.be.closeTo(3, 0.25);
  });

  it('gives a team that starts later its share at once', async () => {
    const bench = new QueueBench();
    bench.updateDirectory('ready');
    for (let i = 0; i < 400; i++) bench.send('early', 60_000);
    await bench.advance(2_000);
    for (let i = 0; i < 100; i++) bench.send('late', 60_000);
    await bench.advance(1_000);
    const expected = (SLOTS * 1_000) / HOLD_MS / 2;
    expect(bench.started('late').length).to.be.closeTo(expected, SLOTS);
  });

  it('serves the earliest deadline of a team first', async () => {
    const bench = new QueueBench();
    bench.updateDirectory('ready');
    for (let i = 0; i < SLOTS; i++) bench.send('x', 60_000);
    for (const withinMs of [9_000, 3_000, 6_000]) bench.send('x', withinMs);
    await bench.advance(1_000);
    const order = bench.started('x').slice(SLOTS);
    const deadlines = order.map(({demand}) => demand.deadlineMs);
    expect(deadlines).to.deep.equal([3_000, 6_000, 9_000]);
  });

  it('refuses on arrival only requests that cannot start in time', async () => {
    const bench = new QueueBench();
    bench.updateDirectory('ready');
    for (let i = 0; i < 20; i++) bench.send('x', 60_000);
    await bench.advance(1_000);
    const startMs = bench.clock.now();
    for (let i = 0; i < 200; i++) bench.send('x', 1_000);
    await bench.advance(5_000);
    const late = bench.ended.slice(20);
    expect(late).to.have.length(200);
    const refusedLate = late.filter(
      ({atMs, result}) => result.isErr() && atMs > startMs,
    );
    // Slots that are freed at the same time make the prediction inexact by up to
    // one request per slot.
    expect(refusedLate.length).to.be.at.most(SLOTS);
    for (const {atMs} of late) expect(atMs).to.be.at.most(startMs + 1_000);
    const started = late.filter(({result}) => result.isOk()).length;
    expect(started).to.be.closeTo((SLOTS * 1_000) / HOLD_MS, SLOTS);
  });

  it('refuses on arrival if the replica is ready too late', async () => {
    const bench = new QueueBench();
    bench.updateDirectory('loading', 10_000);
    bench.send('x', 5_000);
    bench.send('x', 20_000);
    await bench.advance(0);
    expect(bench.ended).to.have.length(1);
    const refusal = bench.ended[0].result._unsafeUnwrapErr();
    expect(refusal.reason).to.equal('deadline');
    expect(refusal.retryAfterMs).to.be.at.least(1_000);
  });

  it('refuses requests by their deadline if no replica is provided', async () => {
    const bench = new QueueBench({}, async () => {
      await bench.clock.sleep(700);
      return err('no replica could be provided in time');
    });
    for (const withinMs of [300, 700, 900]) bench.send('x', withinMs);
    await bench.advance(1_000);
    expect(bench.ended).to.have.length(3);
    for (const {atMs, demand} of bench.ended) {
      expect(atMs).to.be.at.most(demand.deadlineMs);
    }
    expect(bench.queue.length).to.equal(0);
  });

  it('keeps later requests when the earliest one expires', async () => {
    const bench = new QueueBench({}, async () => {
      await bench.clock.sleep(500);
      return err('no replica could be provided in time');
    });
    bench.send('x', 500);
    bench.send('x', 5_000);
    await bench.advance(800);
    expect(bench.ended).to.have.length(1);
    bench.updateDirectory('ready');
    await bench.advance(10);
    expect(bench.started('x')).to.have.length(1);
  });

  it('limits the number of waiting requests of a team', async () => {
    const bench = new QueueBench({}, () => new Promise(() => {}));
    for (let i = 0; i < MAX_WAITING_PER_TEAM + 3; i++) bench.send('x', 9_000);
    bench.send('y', 9_000);
    await bench.advance(0);
    expect(bench.ended).to.have.length(3);
    expect(bench.queue.length).to.equal(MAX_WAITING_PER_TEAM + 1);
  });

  it('removes the request of a caller that has disconnected', async () => {
    const bench = new QueueBench({}, () => Promise.resolve(ok(undefined)));
    const abort = new AbortController();
    bench.send('x', 9_000, abort.signal);
    abort.abort();
    await bench.advance(1);
    expect(bench.queue.length).to.equal(0);
  });
});
