import {expect} from 'chai';
import {ZoneEvacuations} from '../../lib/evacuation/zone_evacuations.js';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {Freshness} from '../../lib/gateway/freshness.js';
import {StoreReader, PeerUpdates} from '../../lib/gateway/peer_updates.js';
import {StoreRefill} from '../../lib/gateway/store_refill.js';
import {NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {PeerNetwork} from '../../lib/peers/peer_network.js';
import {revisionOf} from '../../lib/platform/log_position.js';
import {DEFAULT_COLD_BOUNDS} from '../../lib/warming/cold_pace.js';
import {TargetWarming} from '../../lib/warming/target_warming.js';
import {Warming} from '../../lib/warming/warming.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {deploymentOf, targetRegistration} from './gateway_fixtures.js';

const LIFETIME_MS = 1_500;
const MAX_AGE_MS = 4_000;
const STEP_MS = 20;

/** A host that takes part in the updates; the first one reads the store. */
class UpdatesHost {
  readonly state = new DeploymentState();
  readonly freshness: Freshness;
  readonly targets: TargetTable;
  readonly evacuations: ZoneEvacuations;
  readonly updates: PeerUpdates;
  readonly refill: StoreRefill;
  targetsReadMs = -Infinity;
  /** Versions of the configurations that came from another host. */
  readonly versionsFromPeers: number[] = [];

  constructor(
    readonly clock: ManualClock,
    network: PeerNetwork,
    reader: () => StoreReader | undefined,
    zone = 'z',
    warming?: TargetWarming,
  ) {
    this.freshness = new Freshness(clock, MAX_AGE_MS);
    this.evacuations = new ZoneEvacuations(clock);
    this.targets = new TargetTable(clock, this.evacuations, warming);
    this.refill = new StoreRefill(clock);
    this.updates = new PeerUpdates({
      clock,
      network,
      zone,
      state: this.state,
      freshness: this.freshness,
      targets: this.targets,
      evacuations: this.evacuations,
      refill: this.refill,
      lifetimeMs: LIFETIME_MS,
      targetsReadMs: () => this.targetsReadMs,
      reader,
      encodedConfig: () => {
        const version = this.state.current?.deployment.version;
        if (version === undefined) return undefined;
        return {version, bytes: Uint8Array.of(version)};
      },
      applyEncodedConfig: ([version]) => {
        this.versionsFromPeers.push(version);
        this.state.applyIfNewer(deploymentOf([], [], version));
      },
    });
    void this.updates.run(new AbortController().signal);
  }

  /** Simulates a read of the store. */
  read(version: number): void {
    this.state.applyIfNewer(deploymentOf([], [], version));
    this.freshness.confirm(this.clock.now());
    this.targetsReadMs = this.clock.now();
    this.updates.broadcastHint();
  }
}

/** Creates a host in each of the given zones; the first one is the reader. */
function createHosts(
  zones: string[],
  warmingOf?: (clock: ManualClock) => TargetWarming,
) {
  const clock = new ManualClock();
  const hub = new MemoryHub(clock, new Random(1));
  const world = {isReaderHeard: true, reader: 0};
  const currentReader = () => {
    const host = `h${world.reader}`;
    return world.isReaderHeard ? {host, incarnation: `${host}-1`} : undefined;
  };
  const disconnected = new Set<string>();
  hub.isPartitioned = (from, to) =>
    disconnected.has(from.host) || disconnected.has(to.host);
  const hosts = zones.map((zone, i) => {
    const self = {host: `h${i}`, zone: 'z', incarnation: `h${i}-1`};
    const network = hub.join(self);
    const warming = warmingOf?.(clock);
    return new UpdatesHost(clock, network, currentReader, zone, warming);
  });
  const run = async (ms: number, readVersion?: number) => {
    for (let at = 0; at < ms; at += STEP_MS) {
      if (readVersion !== undefined) hosts[world.reader].read(readVersion);
      await clock.advance(STEP_MS);
    }
  };
  const cut = (i: number) => disconnected.add(`h${i}`);
  const heal = (i: number) => disconnected.delete(`h${i}`);
  /** Removes what readers of an earlier release do not send. */
  const dropEvacuations = () => {
    hub.onMessage = (unused, body) => {
      delete (body as {evacuations?: unknown}).evacuations;
    };
  };
  return Object.assign(world, {
    clock,
    hosts,
    run,
    cut,
    heal,
    dropEvacuations,
  });
}

function createTwoHosts(zone = 'z') {
  const {clock, hosts, run} = createHosts(['z', zone]);
  const [reader, other] = hosts;
  return {clock, reader, other, run};
}

function createManyHosts(count: number, zones: number) {
  return createHosts(
    Array.from({length: count}, (unused, i) => `${i % zones}`),
  );
}

describe('PeerUpdates: cold targets', () => {
  it('passes on how cold a target is, and that it is cold again', async () => {
    const {hosts, run} = createHosts(['z', 'z'], clock => {
      return new Warming({
        clock,
        spec: () => ({coldMs: 3_000, perSecond: 13}),
        isDeclared: () => true,
        bounds: DEFAULT_COLD_BOUNDS,
        hostCount: () => 2,
        hasList: () => true,
      });
    });
    const [reader, other] = hosts;
    const put = (leftMs: number) => {
      const cold = {leftMs, ageMs: 3_500};
      reader.targets.put(targetRegistration({cold}), true);
    };
    put(0);
    await run(500, 7);
    expect(other.targets.get('t1')?.coldLeftMs).to.equal(0);
    put(2_800);
    await run(300, 7);
    const leftMs = other.targets.get('t1')?.coldLeftMs;
    expect(leftMs).to.be.within(reader.targets.get('t1')!.coldLeftMs, 2_800);
  });
});

describe('PeerUpdates', () => {
  it('lets a host skip its own reads while the reader reads the store', async () => {
    const {reader, other, run} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    reader.targets.put(targetRegistration({id: 't9'}), true);
    await run(2_000, 7);
    expect(other.updates.hasFreshConfig).to.equal(true);
    expect(other.updates.hasFreshTargets).to.equal(true);
    expect(other.freshness.isFresh).to.equal(true);
    expect(other.targets.get('t9')).to.not.equal(undefined);
  });

  it('sends a configuration to a host of the same zone', async () => {
    const {other, run} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    await run(1_000, 7);
    await run(200, 8);
    expect(other.versionsFromPeers).to.include(8);
    expect(other.updates.hasFreshConfig).to.equal(true);
  });

  it('makes a host read a configuration that no host of its zone has', async () => {
    const {other, run} = createTwoHosts('y');
    other.state.applyIfNewer(deploymentOf([], [], 7));
    await run(1_000, 7);
    await run(200, 8);
    expect(other.versionsFromPeers).to.deep.equal([]);
    expect(other.updates.hasFreshConfig).to.equal(false);
    expect(other.updates.hasFreshTargets).to.equal(true);
  });

  it('lets one host in each zone read a new configuration', async () => {
    const {hosts, run, clock} = createManyHosts(60, 3);
    for (const host of hosts) host.read(7);
    await run(1_000, 7);
    const beganMs = clock.now();
    const readers = new Set<UpdatesHost>();
    while (hosts.some(({state}) => state.current!.deployment.version < 8)) {
      await run(STEP_MS, 8);
      for (const host of hosts) {
        if (host.updates.hasFreshConfig || readers.has(host)) continue;
        readers.add(host);
        host.read(8);
      }
    }
    // In the zone of the reader, the reader itself is that host.
    expect(readers.size).to.equal(3);
    expect(clock.now() - beganMs).to.be.at.most(500);
  });

  it('sends a configuration to a host that the store does not serve', async () => {
    const {hosts, run} = createManyHosts(6, 2);
    for (const host of hosts) host.read(7);
    await run(1_000, 7);
    const [, lost] = hosts;
    for (let i = 0; i < 100; i++) {
      await run(STEP_MS, 8);
      for (const host of hosts) {
        if (host !== lost && !host.updates.hasFreshConfig) host.read(8);
      }
    }
    expect(lost.versionsFromPeers).to.include(8);
    expect(lost.freshness.isFresh).to.equal(true);
  });

  it('refers hosts to the store when the host to fetch from is unreachable', async () => {
    const {hosts, run, clock, cut} = createManyHosts(12, 1);
    for (const host of hosts) host.read(7);
    await run(1_000, 7);
    cut(1);
    cut(2);
    const beganMs = clock.now();
    const rest = hosts.filter((unused, i) => i !== 1 && i !== 2);
    while (rest.some(({state}) => state.current!.deployment.version < 8)) {
      await run(STEP_MS, 8);
      for (const host of rest) if (!host.updates.hasFreshConfig) host.read(8);
    }
    expect(clock.now() - beganMs).to.be.at.most(1_000);
  });

  it('expires within the lifetime after the reader has lost the store', async () => {
    const {other, run, clock} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    await run(2_000, 7);
    const lostMs = clock.now();
    while (other.updates.hasFreshConfig || other.updates.hasFreshTargets)
      await run(20);
    expect(clock.now() - lostMs).to.be.at.most(LIFETIME_MS);
  });

  it('does not report data as newer than the read that it comes from', async () => {
    const {other, run, clock} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    await run(2_000, 7);
    const lostMs = clock.now();
    await run(1_200);
    expect(other.freshness.ageMs).to.be.at.least(clock.now() - lostMs);
  });

  it('does not add a target again that the host itself has read as removed', async () => {
    const {clock, reader, other, run} = createTwoHosts();
    other.targets.put(targetRegistration({id: 't1'}), true);
    reader.read(7);
    await clock.advance(500);
    other.targets.remove('t1');
    other.targetsReadMs = clock.now();
    // The reader applies an older read late.
    reader.targets.put(targetRegistration({id: 't1'}), true);
    await run(1_400);
    expect(other.targets.get('t1')).to.equal(undefined);
    reader.targets.remove('t1');
    reader.targets.put(targetRegistration({id: 't2'}), true);
    await run(1_000, 7);
    expect(other.targets.get('t1')).to.equal(undefined);
    expect(other.targets.get('t2')).to.not.equal(undefined);
  });

  it('notifies other hosts of a target that has signalled that it is leaving', async () => {
    const {reader, other, run} = createTwoHosts();
    for (const {targets} of [reader, other]) {
      targets.put(targetRegistration({id: 't1'}), true);
    }
    await run(1_000, 7);
    const target = other.targets.get('t1')!;
    other.targets.recordSignals(target, {
      ...NO_SIGNALS,
      isLeaving: true,
    });
    await run(100, 7);
    expect(reader.targets.get('t1')?.isOpen).to.equal(false);
    // The registration in the store does not show it yet.
    reader.targets.put(targetRegistration({id: 't1'}), true);
    await run(1_000, 7);
    expect(other.targets.get('t1')?.isOpen).to.equal(false);
  });

  // Another process may have its id and run another version.
  it('notifies other hosts of a process that was seen to have ended', async () => {
    const {reader, other, run} = createTwoHosts();
    const first = {id: 't1', softwareVersion: 'v1'};
    for (const {targets} of [reader, other])
      targets.put(targetRegistration(first), true);
    await run(1_000, 7);
    const {startedMs} = other.targets.get('t1')!.registration;
    other.targets.markEnded('t1', startedMs);
    await run(100, 7);
    expect(reader.targets.get('t1')?.softwareVersion).to.equal(undefined);
    const second = {...first, startedMs: startedMs + 1};
    reader.targets.put(targetRegistration(second), true);
    await run(100, 7);
    expect(other.targets.get('t1')?.softwareVersion).to.equal('v1');
  });

  it('tells a host that comes of a process that was seen to have ended', async () => {
    const {reader, other, run} = createTwoHosts();
    const target = {id: 't1', softwareVersion: 'v1'};
    reader.targets.put(targetRegistration(target), true);
    const {startedMs} = reader.targets.get('t1')!.registration;
    reader.targets.markEnded('t1', startedMs);
    await run(1_000, 7);
    expect(other.targets.get('t1')?.hasEnded).to.equal(true);
  });

  it('notifies them later if there is no reader at the time', async () => {
    const world = createHosts(['z', 'z', 'z']);
    const {hosts, run} = world;
    const [reader, other, third] = hosts;
    for (const {targets} of hosts) {
      targets.put(targetRegistration({id: 't1'}), true);
    }
    world.isReaderHeard = false;
    const target = other.targets.get('t1')!;
    other.targets.recordSignals(target, {
      ...NO_SIGNALS,
      isLeaving: true,
    });
    await run(500, 7);
    world.isReaderHeard = true;
    await run(LIFETIME_MS, 7);
    expect(reader.targets.get('t1')?.isOpen).to.equal(false);
    expect(third.targets.get('t1')?.isOpen).to.equal(false);
  });

  it('distributes targets that are leaving or removed', async () => {
    const {reader, other, run} = createTwoHosts();
    reader.targets.put(targetRegistration({id: 't1'}), true);
    reader.targets.put(targetRegistration({id: 't2'}), true);
    await run(1_000, 7);
    reader.targets.put(targetRegistration({id: 't1', isLeaving: true}), true);
    reader.targets.remove('t2');
    await run(100, 7);
    expect(other.targets.get('t1')?.isOpen).to.equal(false);
    expect(other.targets.get('t2')).to.equal(undefined);
  });

  it('notifies the other hosts at once of an evacuated zone', async () => {
    const {reader, other, run} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    await run(1_000, 7);
    reader.evacuations.set('a', true, 3);
    await run(40);
    expect(other.evacuations.zones).to.deep.equal(['a']);
    expect(other.evacuations.revision).to.equal(3);
  });

  // Guards against a host that has read the store itself and is then told the
  // state of before by a reader that has not.
  it('does not return a zone on the word of an older reader', async () => {
    const {reader, other, run} = createTwoHosts();
    other.state.applyIfNewer(deploymentOf([], [], 7));
    reader.evacuations.replaceAll([], 3);
    other.evacuations.set('a', true, 4);
    await run(2_000, 7);
    expect(other.evacuations.zones).to.deep.equal(['a']);
    expect(other.freshness.isFresh).to.equal(true);
  });

  // Guards against a host that was cut off during both changes and takes the
  // targets of the zone for warm.
  it('passes on the end of an evacuation that a host has missed', async () => {
    const {clock, reader, other, run} = createTwoHosts();
    reader.evacuations.set('a', true, 3);
    reader.evacuations.set('a', false, 4);
    const endedMs = clock.now();
    await run(1_000, 7);
    expect(other.evacuations.zones).to.deep.equal([]);
    expect(other.evacuations.endedMs('a')).to.be.within(endedMs, endedMs + 40);
  });

  // Guards against hosts that are up to date with the configuration and not
  // with the evacuations, behind a reader of an earlier release.
  it('does not rely on a reader that passes on no evacuations', async () => {
    const world = createHosts(['z', 'z']);
    const [, other] = world.hosts;
    other.state.applyIfNewer(deploymentOf([], [], 7));
    world.dropEvacuations();
    await world.run(2_000, 7);
    expect(other.updates.hasFreshTargets).to.equal(true);
    expect(other.updates.hasFreshConfig).to.equal(false);
    expect(other.freshness.isFresh).to.equal(false);
  });
});

/** Time by which targets and the operator have written again. */
const REFILLED_MS = 4_000;

/** Revision of the newest record in the older copy. */
const COPY_REVISION = revisionOf({era: 2, offset: 3});

describe('PeerUpdates after the store came back from an older copy', () => {
  /** The first host, which reads, and another one know what the store has lost. */
  async function createInformedHosts() {
    const world = createHosts(['z', 'z', 'z']);
    const [first, other, started] = world.hosts;
    world.cut(world.hosts.indexOf(started));
    for (const {evacuations, refill, state, targets} of [first, other]) {
      refill.recordEra(1);
      targets.put(targetRegistration({id: 't1'}), true);
      evacuations.set('a', true, revisionOf({era: 1, offset: 5}));
      state.applyIfNewer(deploymentOf([], [], 7));
    }
    await world.run(1_000, 7);
    world.heal(world.hosts.indexOf(started));
    return {world, first, other, started};
  }

  /** A host that has started since and knows only the copy becomes the reader. */
  async function createReaderOfCopy() {
    const {world, other, started} = await createInformedHosts();
    started.refill.recordEra(2);
    started.targets.put(targetRegistration({id: 't2'}), true);
    started.evacuations.replaceAll([], COPY_REVISION);
    world.reader = world.hosts.indexOf(started);
    await world.run(1_000, 7);
    return {world, other};
  }

  it('keeps the targets that a started reader has not found, until they had time to register', async () => {
    const {world, other} = await createReaderOfCopy();
    expect(other.targets.get('t1')).to.not.equal(undefined);
    expect(other.targets.get('t2')).to.equal(undefined);
    await world.run(REFILLED_MS, 7);
    expect(other.targets.get('t1')).to.equal(undefined);
    expect(other.targets.get('t2')).to.not.equal(undefined);
  });

  it('learns from a started reader that a target leaves, and not what it said before', async () => {
    const {world, other, started} = await createInformedHosts();
    other.targets.put(targetRegistration({id: 't2'}), true);
    const {slots} = other.targets.get('t1')!.registration;
    started.refill.recordEra(2);
    started.targets.put(targetRegistration({id: 't1', slots: 1}), true);
    started.targets.put(targetRegistration({id: 't2', isLeaving: true}), true);
    world.reader = world.hosts.indexOf(started);
    await world.run(1_000, 7);
    expect(other.targets.get('t1')!.registration.slots).to.equal(slots);
    expect(other.targets.get('t2')!.isLeaving).to.equal(true);
  });

  it('keeps the evacuations that a started reader has not found', async () => {
    const {world, other} = await createReaderOfCopy();
    expect(other.evacuations.zones).to.deep.equal(['a']);
    await world.run(REFILLED_MS, 7);
    expect(other.evacuations.zones).to.deep.equal([]);
  });

  it('does not take the configuration of a started reader for the newest', async () => {
    const {world, other} = await createReaderOfCopy();
    expect(other.freshness.ageMs).to.be.at.least(800);
    await world.run(REFILLED_MS, 7);
    expect(other.freshness.isFresh).to.equal(true);
  });

  it('tells a started host of targets that the store has lost', async () => {
    const {world, first, started} = await createInformedHosts();
    first.refill.recordEra(2);
    started.refill.recordEra(2);
    started.read(7);
    await world.run(500, 7);
    expect(started.targets.get('t1')).to.not.equal(undefined);
  });

  // Its own first read shows no evacuation, and it cannot know of the return.
  it('tells a started host of an evacuation that the store has lost', async () => {
    const {world, first, started} = await createInformedHosts();
    first.refill.recordEra(2);
    first.evacuations.addAll([], COPY_REVISION);
    started.refill.recordEra(2);
    started.evacuations.replaceAll([], COPY_REVISION);
    await world.run(1_000, 7);
    expect(started.evacuations.zones).to.deep.equal(['a']);
    expect(started.refill.isUnderWay).to.equal(true);
    first.evacuations.replaceAll([], COPY_REVISION);
    await world.run(REFILLED_MS, 7);
    expect(started.evacuations.zones).to.deep.equal([]);
  });
});
