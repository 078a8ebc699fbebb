import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {ArchiveContent} from '../../lib/archive/archive.js';
import {
  ArchivedVersions,
  VersionArchive,
} from '../../lib/continuation/version_archive.js';
import {VersionKeeper} from '../../lib/continuation/version_keeper.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {targetRegistration} from '../gateway/gateway_fixtures.js';
import {
  ContinuityHost,
  ContinuityWorld,
  SERVICE,
  TIMEOUT_MS,
} from './continuity_world.js';

const SECOND_MS = 1_000;

/** Keeps versions in memory, unless it is down. */
class MemoryArchive extends VersionArchive {
  stored = new Map<string, ArchivedVersions>();
  override era = 1;
  reads = 0;
  writes = 0;
  isDown = false;

  override async read(): Promise<
    Result<ArchiveContent<ArchivedVersions[]>, 'unavailable'>
  > {
    this.reads += 1;
    if (this.isDown) return err('unavailable');
    return ok({era: this.era, content: [...this.stored.values()]});
  }

  override async write(
    versions: readonly ArchivedVersions[],
  ): Promise<Result<void, 'unavailable'>> {
    this.writes += 1;
    if (this.isDown) return err('unavailable');
    for (const entry of versions) this.stored.set(entry.service, entry);
    return ok(undefined);
  }

  /** Comes back from an older copy. */
  restore(stored: ReadonlyMap<string, ArchivedVersions>): void {
    this.stored = new Map(stored);
    this.era += 1;
  }
}

describe('VersionKeeper', () => {
  let world: ContinuityWorld;
  let archive: MemoryArchive;
  let host: ContinuityHost;
  let shutdown: AbortController;
  let isDeciding: boolean;

  function startKeeper(): void {
    const {clock} = world;
    const keeper = new VersionKeeper({
      clock,
      logger: new SilentLogger(),
      versions: host.versions,
      archive,
      isDeciding: () => isDeciding,
    });
    shutdown = new AbortController();
    void keeper.run(shutdown.signal);
  }

  /** Loses all memory, as if all hosts had been killed. */
  async function restart(...versions: string[]): Promise<void> {
    shutdown.abort();
    host = world.startHost(0);
    host.versions.recordListed();
    for (const [i, version] of versions.entries())
      host.setTarget(`t${i}`, version);
    startKeeper();
    await world.clock.advance(SECOND_MS);
  }

  beforeEach(async () => {
    world = new ContinuityWorld(1);
    archive = new MemoryArchive();
    isDeciding = true;
    host = world.hosts[0];
    world.setTargets('v1', 'v1');
    startKeeper();
    await world.clock.advance(SECOND_MS);
  });

  afterEach(() => shutdown.abort());

  it('makes two calls while one version runs', async () => {
    await world.clock.advance(100 * SECOND_MS);
    expect([archive.reads, archive.writes]).to.deep.equal([1, 1]);
    expect(archive.stored.get(SERVICE)?.current).to.deep.equal(['v1']);
  });

  it('continues streams of the only version after all hosts were killed', async () => {
    await restart('v1', 'v1');
    expect(host.versionOf('unknown')).to.equal('v1');
  });

  it('continues no unknown stream after a version came while all hosts were down', async () => {
    await restart('v2', 'v2');
    expect(host.versionOf('unknown')).to.equal(undefined);
  });

  it('continues no unknown stream after a version left before all hosts were killed', async () => {
    host.setTarget('t1', 'v2');
    await world.clock.advance(SECOND_MS);
    host.setTarget('t0', 'v2');
    await world.clock.advance(SECOND_MS);
    await restart('v2', 'v2');
    expect(host.versionOf('unknown')).to.equal(undefined);
  });

  it('continues no unknown stream while the archive cannot be read', async () => {
    archive.isDown = true;
    await restart('v1', 'v1');
    expect(host.versionOf('unknown')).to.equal(undefined);
    archive.isDown = false;
    await world.clock.advance(3 * SECOND_MS);
    expect(host.versionOf('unknown')).to.equal('v1');
  });

  it('writes again what could not be written', async () => {
    archive.isDown = true;
    host.setTarget('t1', 'v2');
    await world.clock.advance(3 * SECOND_MS);
    archive.isDown = false;
    await world.clock.advance(3 * SECOND_MS);
    expect(archive.stored.get(SERVICE)?.current).to.deep.equal(['v1', 'v2']);
  });

  describe('and an archive that came back from a copy without a version that has come and gone', () => {
    let copy: Map<string, ArchivedVersions>;

    beforeEach(async () => {
      copy = new Map(archive.stored);
      host.setTarget('t1', 'v2');
      await world.clock.advance(SECOND_MS);
      host.setTarget('t1', 'v1');
      await world.clock.advance(SECOND_MS);
    });

    it('writes the version again, for hosts that start', async () => {
      archive.restore(copy);
      await world.clock.advance(SECOND_MS);
      const past = archive.stored.get(SERVICE)!.past;
      expect(past.map(each => each.softwareVersion)).to.deep.equal(['v2']);
      await restart('v1', 'v1');
      expect(host.versionOf('unknown')).to.equal(undefined);
    });

    it('continues no unknown stream at once if no host is left that knows it', async () => {
      shutdown.abort();
      archive.restore(copy);
      await restart('v1', 'v1');
      expect(host.versionOf('unknown')).to.equal(undefined);
      await restart('v1', 'v1');
      expect(host.versionOf('unknown')).to.equal(undefined);
      await world.clock.advance(TIMEOUT_MS + 5 * SECOND_MS);
      expect(host.versionOf('unknown')).to.equal('v1');
    });

    it('writes the version again when its host begins to decide after the copy', async () => {
      isDeciding = false;
      await world.clock.advance(2 * SECOND_MS);
      archive.restore(copy);
      isDeciding = true;
      await world.clock.advance(3 * SECOND_MS);
      const past = archive.stored.get(SERVICE)!.past;
      expect(past.map(each => each.softwareVersion)).to.deep.equal(['v2']);
    });

    it('writes the version again when a write failed while the store was away', async () => {
      archive.isDown = true;
      host.setTarget('t1', 'v3');
      await world.clock.advance(SECOND_MS);
      host.setTarget('t1', 'v1');
      archive.restore(copy);
      archive.isDown = false;
      await world.clock.advance(3 * SECOND_MS);
      const past = archive.stored.get(SERVICE)!.past;
      expect(past.map(each => each.softwareVersion)).to.include('v2');
    });

    it('writes the version again when it has come and gone anew while the store was away', async () => {
      await world.clock.advance(100 * SECOND_MS);
      const entry = archive.stored.get(SERVICE)!;
      const aged = {...entry.past[0], agoMs: 100 * SECOND_MS};
      archive.stored.set(SERVICE, {...entry, past: [aged]});
      archive.isDown = true;
      host.setTarget('t1', 'v2');
      await world.clock.advance(SECOND_MS);
      host.setTarget('t1', 'v1');
      await world.clock.advance(SECOND_MS);
      archive.isDown = false;
      await world.clock.advance(3 * SECOND_MS);
      const past = archive.stored.get(SERVICE)!.past;
      expect(past[0].agoMs).to.be.below(10 * SECOND_MS);
    });

    it('continues no unknown stream of a service whose targets are listed late', async () => {
      shutdown.abort();
      archive.restore(copy);
      await restart();
      await world.clock.advance(SECOND_MS);
      host.setTarget('t0', 'v1');
      expect(host.versionOf('unknown')).to.equal(undefined);
    });

    it('continues no unknown stream once only another service was written again', async () => {
      isDeciding = false;
      await world.clock.advance(2 * SECOND_MS);
      archive.restore(copy);
      isDeciding = true;
      const startedMs = world.clock.now() + 1;
      const other = {
        id: 'o1',
        startedMs,
        service: 'other',
        softwareVersion: 'v1',
      };
      host.targets.put(targetRegistration(other), true);
      await world.clock.advance(3 * SECOND_MS);
      await restart('v1', 'v1');
      expect(host.versionOf('unknown')).to.equal(undefined);
    });
  });
});
