import {expect} from 'chai';
import fc from 'fast-check';
import {z} from 'zod';
import {SNAPSHOT_TYPE, ZoneRecordType, parseSnapshot} from '../../index.js';
import {FakeHost, FakeZone, RETENTION_MS, recordTypes} from './zone_fakes.js';

const RUNS = 300;
const NAMES = ['h1', 'h2', 'h3'];
const ALL_NAMES = [...NAMES, 'h4'];
const START_MS = 3_000;
const nothing = () => {};
const DECIDED: ZoneRecordType<string> = {type: 'decided', body: z.string()};

async function startZone(names = NAMES): Promise<FakeZone> {
  const zone = new FakeZone();
  for (const name of names) zone.start(name);
  await zone.advance(START_MS, nothing);
  return zone;
}

function holders(zone: FakeZone): FakeHost[] {
  return [...zone.hosts.values()].filter(host => host.fencing !== undefined);
}

function soleHolder(zone: FakeZone): FakeHost {
  const [holder, ...others] = holders(zone);
  expect(others).to.deep.equal([]);
  expect(holder, 'holder').not.to.equal(undefined);
  return holder;
}

/**
 * Checks that there is at most one holder at a time, and that fencing numbers
 * never decrease and are never shared by two hosts. The first protects targets
 * that do not check fencing numbers, the others those that do.
 */
class FencingChecker {
  private highest = -1;
  private readonly holderByFencing = new Map<number, string>();

  constructor(private readonly zone: FakeZone) {}

  check(): void {
    const standing = holders(this.zone);
    const names = standing.map(({network}) => network.self.incarnation);
    expect(names.length, `holders at once: ${names}`).to.be.at.most(1);
    for (const {fencing, network} of standing) this.verify(fencing!, network);
  }

  private verify(fencing: number, {self}: FakeHost['network']): void {
    expect(fencing, 'an authority with an old fencing number').to.be.at.least(
      this.highest,
    );
    this.highest = fencing;
    const holder = this.holderByFencing.get(fencing) ?? self.incarnation;
    expect(holder, `fencing ${fencing}`).to.equal(self.incarnation);
    this.holderByFencing.set(fencing, holder);
  }
}

describe('ZoneLease', () => {
  it('stays with its holder by consent while the log is down', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    zone.isLogDown = true;
    await zone.advance(30_000, () => expect(soleHolder(zone)).to.equal(holder));
  });

  it('expires if the log is down and one member does not consent', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    const [other] = NAMES.filter(name => name !== holder.network.self.host);
    zone.isLogDown = true;
    zone.toggleLink(holder.network.self.host, other);
    await zone.advance(12_000, nothing);
    expect(holders(zone)).to.deep.equal([]);
  });

  it('passes to another host if only the holder is cut off from the log', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    holder.isCutFromLog = true;
    await zone.advance(40_000, nothing);
    expect(soleHolder(zone)).not.to.equal(holder);
  });

  it('passes to another host at once on release', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    const {signal} = new AbortController();
    void holder.membership.lease.release(true, signal);
    expect(holder.fencing).to.equal(undefined);
    await zone.advance(2_000, nothing);
    const authority = soleHolder(zone).membership.lease.check();
    const {heldSinceMs, orderableFromMs} = authority._unsafeUnwrap();
    expect(orderableFromMs).to.equal(heldSinceMs);
  });

  it('makes the next holder wait for the orders of a crashed holder', async () => {
    const zone = await startZone();
    const dead = soleHolder(zone);
    dead.stop();
    zone.hosts.delete(dead.network.self.host);
    await zone.advance(9_000, nothing);
    const authority = soleHolder(zone).membership.lease.check();
    const {heldSinceMs, orderableFromMs} = authority._unsafeUnwrap();
    expect(orderableFromMs - heldSinceMs).to.equal(30_000);
  });

  it('is not claimed by a host whose join is not acknowledged', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    holder.isCutFromLog = true;
    for (const name of NAMES) {
      if (zone.hosts.get(name) !== holder) zone.toggleLink(name, 'h4');
    }
    zone.toggleLink(holder.network.self.host, 'h4');
    const joiner = zone.start('h4');
    await zone.advance(60_000, () => {
      expect(joiner.fencing).to.equal(undefined);
    });
    holder.isCutFromLog = false;
    await zone.advance(10_000, nothing);
    expect(joiner.membership.joinTracker.isEstablished).to.equal(true);
  });

  it('is not extended by a member whose own claim is in flight', async () => {
    for (let mendMs = 6_000; mendMs < 12_000; mendMs += 100) {
      const zone = await startZone(['h1', 'h2']);
      const holder = soleHolder(zone);
      holder.isCutFromLog = true;
      zone.toggleLink('h1', 'h2');
      for (const host of zone.hosts.values()) host.appendMs = 1_800;
      const watch = new FencingChecker(zone);
      await zone.advance(mendMs, () => watch.check());
      zone.toggleLink('h1', 'h2');
      await zone.advance(10_000, () => watch.check());
    }
  });

  it('expires relative to the start of a renewal, even if it completes late', async () => {
    for (let pauseMs = 0; pauseMs < 4_000; pauseMs += 100) {
      const zone = await startZone(['h1', 'h2']);
      const holder = soleHolder(zone);
      zone.toggleLink('h1', 'h2');
      holder.appendMs = 1_500;
      const watch = new FencingChecker(zone);
      await zone.advance(pauseMs, () => watch.check());
      holder.isPaused = true;
      await zone.advance(6_500, () => watch.check());
      holder.isPaused = false;
      await zone.advance(6_000, () => watch.check());
    }
  });

  it('lets members append the records of a log outage before the next claim', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    zone.isLogDown = true;
    await zone.advance(8_000, nothing);
    const {signal} = new AbortController();
    const {records} = holder.membership;
    const recorded = records.append(DECIDED, 'load', 1_000, signal);
    await zone.advance(1_000, nothing);
    expect((await recorded).isOk()).to.equal(true);
    holder.stop();
    zone.hosts.delete(holder.network.self.host);
    await zone.advance(1_000, nothing);
    zone.isLogDown = false;
    await zone.advance(15_000, nothing);
    const next = soleHolder(zone);
    const written = recordTypes(zone).indexOf(DECIDED.type);
    expect(written).to.be.within(0, next.fencing!);
  });

  it('fails to append a record that one member cannot keep', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    const [other] = NAMES.filter(name => name !== holder.network.self.host);
    zone.isLogDown = true;
    await zone.advance(8_000, nothing);
    zone.toggleLink(holder.network.self.host, other);
    const {signal} = new AbortController();
    const {records} = holder.membership;
    const recorded = records.append(DECIDED, 'load', 1_000, signal);
    await zone.advance(3_000, nothing);
    expect((await recorded).isErr()).to.equal(true);
  });

  it('is restored from a snapshot after its claim record has expired', async () => {
    const zone = await startZone();
    const holder = soleHolder(zone);
    await zone.advance(RETENTION_MS / 2, () => soleHolder(zone));
    const snapshot = recordTypes(zone).lastIndexOf(SNAPSHOT_TYPE);
    expect(snapshot).to.be.above(0);
    zone.first = parseSnapshot(zone.records[snapshot].body)!.through;
    expect(zone.first).to.be.above(holder.fencing!);
    const joiner = zone.start('h4');
    await zone.advance(10_000, () => {
      expect(soleHolder(zone)).to.equal(holder);
    });
    const {members, lease, joinTracker: tracker} = joiner.membership;
    expect(members.all().map(({host}) => host)).to.deep.equal(ALL_NAMES);
    expect(lease.holder()).to.equal(holder.network.self.host);
    expect(tracker.isEstablished).to.equal(true);
  });

  it('is renewed by the host whose claim reached the log late', async () => {
    const zone = await startZone(['h1']);
    const late = zone.hosts.get('h1')!;
    late.clock.pause(60_000);
    late.appendMs = 5_000;
    await zone.advance(20_000, nothing);
    late.appendMs = 50;
    await zone.advance(20_000, nothing);
    expect(soleHolder(zone)).to.equal(late);
  });
});

const event = fc.record({
  afterMs: fc.integer({min: 0, max: 60}).map(n => n * 100),
  host: fc.constantFrom(...ALL_NAMES),
  other: fc.constantFrom(...ALL_NAMES),
  kind: fc.constantFrom(
    'pause',
    'resume',
    'cut-log',
    'mend-log',
    'toggle-link',
    'log-down',
    'log-up',
    'lose-answers',
    'slow-appends',
    'lost-appends',
    'fast-appends',
    'restart',
    'holder-cut',
    'holder-pause',
  ),
});

type ZoneEvent = typeof event extends fc.Arbitrary<infer T> ? T : never;

function applyEvent(
  zone: FakeZone,
  {kind, host: name, other}: ZoneEvent,
): void {
  const host = zone.hosts.get(name);
  const [holder] = holders(zone);
  if (kind === 'log-down') zone.isLogDown = true;
  if (kind === 'log-up') zone.isLogDown = false;
  if (kind === 'toggle-link' && name !== other) zone.toggleLink(name, other);
  if (kind === 'restart') zone.start(name);
  if (kind === 'holder-cut' && holder) holder.isCutFromLog = true;
  if (kind === 'holder-pause' && holder) holder.isPaused = true;
  if (host === undefined) return;
  if (kind === 'pause') host.isPaused = true;
  if (kind === 'resume') host.isPaused = false;
  if (kind === 'cut-log') host.isCutFromLog = true;
  if (kind === 'mend-log') host.isCutFromLog = false;
  if (kind === 'lose-answers') host.loseAnswers = 3;
  if (kind === 'slow-appends') host.appendMs = 1_800;
  if (kind === 'lost-appends') host.appendMs = 9_000;
  if (kind === 'fast-appends') host.appendMs = 50;
}

describe('ZoneLease under failures', () => {
  it('never has two holders whose orders are accepted', async function () {
    this.timeout(240_000);
    const property = fc.asyncProperty(
      fc.array(event, {minLength: 4, maxLength: 16}),
      async events => {
        const zone = await startZone();
        const watch = new FencingChecker(zone);
        for (const next of events) {
          await zone.advance(next.afterMs, () => watch.check());
          applyEvent(zone, next);
        }
        await zone.advance(15_000, () => watch.check());
        for (const host of zone.hosts.values()) host.stop();
      },
    );
    await fc.assert(property, {numRuns: RUNS});
  });
});
