import {expect} from 'chai';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {Freshness} from '../../lib/gateway/freshness.js';
import {NewsReader, PeerNews} from '../../lib/gateway/peer_news.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {PeerNetwork} from '../../lib/peers/peer_network.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {deploymentOf, targetNotice} from './gateway_fixtures.js';

const LIFE_MS = 1_500;
const MAX_AGE_MS = 4_000;
const STEP_MS = 20;

/** A host of the news: the first one reads the store. */
class NewsHost {
  readonly state = new DeploymentState();
  readonly freshness: Freshness;
  readonly targets: TargetTable;
  readonly news: PeerNews;
  targetsReadMs = -Infinity;

  constructor(
    readonly clock: ManualClock,
    network: PeerNetwork,
    reader: () => NewsReader | undefined,
  ) {
    this.freshness = new Freshness(clock, MAX_AGE_MS);
    this.targets = new TargetTable(clock);
    this.news = new PeerNews({
      clock,
      network,
      state: this.state,
      freshness: this.freshness,
      targets: this.targets,
      lifeMs: LIFE_MS,
      targetsReadMs: () => this.targetsReadMs,
      reader,
    });
    void this.news.run(new AbortController().signal);
  }

  /** Plays a read of the store. */
  read(version: number): void {
    this.state.offer(deploymentOf([], [], version));
    this.freshness.confirm(this.clock.now());
    this.targetsReadMs = this.clock.now();
    this.news.hint();
  }
}

interface NewsWorld {
  clock: ManualClock;
  reader: NewsHost;
  other: NewsHost;
  run(ms: number, readVersion?: number): Promise<void>;
}

function newsWorld(): NewsWorld {
  const clock = new ManualClock();
  const hub = new MemoryHub(clock, new Random(1));
  const networks = ['r', 'o'].map(host =>
    hub.join({host, zone: 'z', incarnation: `${host}-1`}),
  );
  const who = () => ({host: 'r', incarnation: 'r-1'});
  const [reader, other] = networks.map(
    network => new NewsHost(clock, network, who),
  );
  const run = async (ms: number, readVersion?: number) => {
    for (let at = 0; at < ms; at += STEP_MS) {
      if (readVersion !== undefined) reader.read(readVersion);
      await clock.advance(STEP_MS);
    }
  };
  return {clock, reader, other, run};
}

describe('PeerNews', () => {
  it('spares a host the store while the reader reads it', async () => {
    const {reader, other, run} = newsWorld();
    other.state.offer(deploymentOf([], [], 7));
    reader.targets.put(targetNotice({id: 't9'}), true);
    await run(2_000, 7);
    expect(other.news.coversConfig).to.equal(true);
    expect(other.news.coversTargets).to.equal(true);
    expect(other.freshness.isFresh).to.equal(true);
    expect(other.targets.get('t9')).to.not.equal(undefined);
  });

  it('makes a host read a configuration that only the reader has', async () => {
    const {other, run} = newsWorld();
    other.state.offer(deploymentOf([], [], 7));
    await run(1_000, 7);
    await run(200, 8);
    expect(other.news.coversConfig).to.equal(false);
    expect(other.news.coversTargets).to.equal(true);
  });

  it('covers nothing longer than its life after the reader has lost the store', async () => {
    const {other, run, clock} = newsWorld();
    other.state.offer(deploymentOf([], [], 7));
    await run(2_000, 7);
    const lostMs = clock.now();
    while (other.news.coversConfig || other.news.coversTargets) await run(20);
    expect(clock.now() - lostMs).to.be.at.most(LIFE_MS);
  });

  it('does not make knowledge younger than the read it comes from', async () => {
    const {other, run, clock} = newsWorld();
    other.state.offer(deploymentOf([], [], 7));
    await run(2_000, 7);
    const lostMs = clock.now();
    await run(1_200);
    expect(other.freshness.ageMs).to.be.at.least(clock.now() - lostMs);
  });

  it('does not bring a target back that the host itself has read to be gone', async () => {
    const {clock, reader, other, run} = newsWorld();
    other.targets.put(targetNotice({id: 't1'}), true);
    reader.read(7);
    await clock.advance(500);
    other.targets.remove('t1');
    other.targetsReadMs = clock.now();
    // The reader is slow to take in what it read before that.
    reader.targets.put(targetNotice({id: 't1'}), true);
    await run(1_400);
    expect(other.targets.get('t1')).to.equal(undefined);
    reader.targets.remove('t1');
    reader.targets.put(targetNotice({id: 't2'}), true);
    await run(1_000, 7);
    expect(other.targets.get('t1')).to.equal(undefined);
    expect(other.targets.get('t2')).to.not.equal(undefined);
  });

  it('passes on that a target has told a host that it leaves', async () => {
    const {reader, other, run} = newsWorld();
    for (const {targets} of [reader, other]) {
      targets.put(targetNotice({id: 't1'}), true);
    }
    await run(1_000, 7);
    const target = other.targets.get('t1')!;
    other.targets.noteSigns(target, {isLeaving: true, quietMs: undefined});
    await run(100, 7);
    expect(reader.targets.get('t1')?.isOpen).to.equal(false);
    // The store has not heard of it yet.
    reader.targets.put(targetNotice({id: 't1'}), true);
    await run(1_000, 7);
    expect(other.targets.get('t1')?.isOpen).to.equal(false);
  });

  it('passes on targets that leave or are gone', async () => {
    const {reader, other, run} = newsWorld();
    reader.targets.put(targetNotice({id: 't1'}), true);
    reader.targets.put(targetNotice({id: 't2'}), true);
    await run(1_000, 7);
    reader.targets.put(targetNotice({id: 't1', isLeaving: true}), true);
    reader.targets.remove('t2');
    await run(100, 7);
    expect(other.targets.get('t1')?.isOpen).to.equal(false);
    expect(other.targets.get('t2')).to.equal(undefined);
  });
});
