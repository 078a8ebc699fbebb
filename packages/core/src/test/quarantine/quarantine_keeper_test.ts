import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {ArchiveContent} from '../../lib/archive/archive.js';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {PartState, STANDING} from '../../lib/quarantine/part_record.js';
import {
  ArchivedParts,
  QuarantineArchive,
} from '../../lib/quarantine/quarantine_archive.js';
import {QuarantineKeeper} from '../../lib/quarantine/quarantine_keeper.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

/** An archive that can be down, and that can lose what was written to it. */
class FakeArchive extends QuarantineArchive {
  override era = 1;
  isDown = false;
  calls = 0;
  /** Called while the answer to a read is on its way. */
  onRead = () => {};
  readonly states = new Map<string, PartState>();
  readonly lifted = new Set<string>();

  override async read(): Promise<
    Result<ArchiveContent<ArchivedParts>, 'unavailable'>
  > {
    this.calls += 1;
    if (this.isDown) return err('unavailable');
    const {era} = this;
    const lifted = [...this.lifted];
    const content = {states: [...this.states.values()], lifted};
    this.onRead();
    return ok({era, content});
  }

  override async write(
    states: readonly PartState[],
  ): Promise<Result<void, 'unavailable'>> {
    this.calls += 1;
    if (this.isDown) return err('unavailable');
    for (const state of states) {
      this.lifted.delete(state.part);
      if (state.quarantineCount === 0) this.states.delete(state.part);
      else this.states.set(state.part, state);
    }
    return ok(undefined);
  }

  /** Comes back without anything that was written. */
  forget(): void {
    this.states.clear();
    this.era += 1;
  }
}

class KeeperHost {
  readonly ledger: PartLedger;
  readonly keeper: QuarantineKeeper;
  isDeciding = false;
  isGuided = false;
  hasExchanged = false;

  constructor(clock: ManualClock, archive: FakeArchive) {
    const logger = new SilentLogger();
    this.ledger = new PartLedger(clock, logger);
    this.keeper = new QuarantineKeeper({
      clock,
      logger,
      ledger: this.ledger,
      archive,
      hasExchanged: () => this.hasExchanged,
      isDeciding: () => this.isDeciding,
      isGuided: () => this.isGuided,
    });
    void this.keeper.run(new AbortController().signal);
  }
}

describe('QuarantineKeeper', () => {
  let clock: ManualClock;
  let archive: FakeArchive;

  beforeEach(() => {
    clock = new ManualClock();
    archive = new FakeArchive();
  });

  /** Starts a deciding host with a quarantined part that it has stored. */
  async function decidingHost(): Promise<KeeperHost> {
    const host = new KeeperHost(clock, archive);
    host.isDeciding = true;
    await clock.advance(10);
    host.ledger.setQuarantine('bad', 60_000);
    await clock.advance(2_000);
    expect([...archive.states.keys()]).to.deep.equal(['bad']);
    return host;
  }

  it('is informed once it has read the archive, or a host has told it', async () => {
    archive.isDown = true;
    const host = new KeeperHost(clock, archive);
    await clock.advance(3_000);
    expect(host.keeper.isInformed).to.equal(false);
    host.hasExchanged = true;
    expect(host.keeper.isInformed).to.equal(true);
    host.hasExchanged = false;
    archive.isDown = false;
    await clock.advance(2_000);
    expect(host.keeper.isInformed).to.equal(true);
  });

  it('restores the quarantine after all hosts were down', async () => {
    await decidingHost();
    const restarted = new KeeperHost(clock, archive);
    await clock.advance(100);
    expect(restarted.keeper.isInformed).to.equal(true);
    expect(restarted.ledger.standingOf('bad')).to.equal(STANDING.quarantined);
  });

  it('removes a part that was proven sound', async () => {
    const host = await decidingHost();
    host.ledger.recordAnswer('bad', 0, true);
    await clock.advance(2_000);
    expect(archive.states.size).to.equal(0);
  });

  it('writes again what a restored archive has lost', async () => {
    await decidingHost();
    archive.forget();
    await clock.advance(2_000);
    expect([...archive.states.keys()]).to.deep.equal(['bad']);
  });

  it('writes again at once what is lost while the answer to a read is on its way', async () => {
    await decidingHost();
    archive.onRead = () => {
      archive.onRead = () => {};
      archive.forget();
    };
    await clock.advance(5_000);
    expect([...archive.states.keys()]).to.deep.equal(['bad']);
  });

  it('writes a part again that a restored archive holds with an earlier quarantine', async () => {
    const host = await decidingHost();
    const earlier = {...archive.states.get('bad')!, quarantineLeftMs: 0};
    host.ledger.recordAnswer('bad', 0, true);
    await clock.advance(1_000);
    host.ledger.setQuarantine('bad', 60_000);
    await clock.advance(1_000);
    archive.forget();
    archive.states.set('bad', earlier);
    await clock.advance(2_000);
    expect(archive.states.get('bad')!.quarantineLeftMs).to.be.above(50_000);
  });

  it('writes once the archive is back, with few calls meanwhile', async () => {
    const host = new KeeperHost(clock, archive);
    host.isDeciding = true;
    await clock.advance(1_000);
    archive.isDown = true;
    archive.calls = 0;
    host.ledger.setQuarantine('bad', 60_000);
    await clock.advance(10_000);
    expect(archive.calls).to.be.at.most(11);
    archive.isDown = false;
    await clock.advance(3_000);
    expect(archive.states.size).to.equal(1);
    const {calls} = archive;
    await clock.advance(20_000);
    // Reads only, for what operators write.
    expect(archive.calls - calls).to.be.at.most(4);
  });

  it('applies what operators set and lift', async () => {
    const host = await decidingHost();
    const state = {...host.ledger.stateOf('bad'), part: 'by hand'};
    archive.states.set('by hand', state);
    archive.states.delete('bad');
    archive.lifted.add('bad');
    await clock.advance(7_000);
    expect(host.ledger.standingOf('bad')).to.equal(STANDING.clear);
    expect(host.ledger.standingOf('by hand')).to.equal(STANDING.quarantined);
    expect(archive.lifted.size).to.equal(0);
    expect([...archive.states.keys()]).to.deep.equal(['by hand']);
  });

  it('tells other hosts without a deciding host', async () => {
    const hosts = [1, 2].map(() => new KeeperHost(clock, archive));
    await clock.advance(1_000);
    // Both have seen an end, only one has seen the trial.
    for (const {ledger} of hosts) {
      const runs = [{id: 'r', parts: ['bad'], hasBegun: true, tried: []}];
      ledger.recordEnd({target: 't1', startedMs: 1, runs});
    }
    hosts[0].ledger.setQuarantine('bad', 60_000);
    await clock.advance(3_000);
    expect(hosts[1].ledger.standingOf('bad')).to.equal(STANDING.quarantined);
  });

  it('calls the archive no more while another host decides', async () => {
    const host = new KeeperHost(clock, archive);
    host.isGuided = true;
    await clock.advance(1_000);
    const {calls} = archive;
    host.ledger.setQuarantine('bad', 60_000);
    await clock.advance(20_000);
    expect(archive.calls).to.equal(calls);
  });
});
