import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {ArchiveContent} from '../../lib/archive/archive.js';
import {OriginArchive} from '../../lib/continuation/origin_archive.js';
import {OriginKeeper} from '../../lib/continuation/origin_keeper.js';
import {OriginGroup} from '../../lib/continuation/stream_origins.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ContinuityHost, ContinuityWorld} from './continuity_world.js';

const SECOND_MS = 1_000;

/** Keeps streams in memory, and can lose them. */
class MemoryArchive extends OriginArchive {
  groups: OriginGroup[] = [];
  override era = 1;
  isDown = false;

  override async read(): Promise<
    Result<ArchiveContent<OriginGroup[]>, 'unavailable'>
  > {
    return ok({era: this.era, content: [...this.groups]});
  }

  override async write(
    groups: readonly OriginGroup[],
  ): Promise<Result<void, 'unavailable'>> {
    if (this.isDown) return err('unavailable');
    this.groups.push(...groups);
    return ok(undefined);
  }

  /** Comes back from a copy without any stream. */
  forget(): void {
    this.groups = [];
    this.era += 1;
  }
}

describe('OriginKeeper', () => {
  let world: ContinuityWorld;
  let archive: MemoryArchive;
  let shutdown: AbortController;

  function startKeeper({exchange, versions}: ContinuityHost): void {
    const keeper = new OriginKeeper({
      clock: world.clock,
      logger: new SilentLogger(),
      versions,
      exchange,
      archive,
      isDeciding: () => true,
    });
    void keeper.run(shutdown.signal);
  }

  beforeEach(async () => {
    world = new ContinuityWorld(1);
    archive = new MemoryArchive();
    shutdown = new AbortController();
    const [host] = world.hosts;
    world.setTargets('v1', 'v2');
    host.versions.addPast([]);
    startKeeper(host);
    host.begin('stream', 'v1');
    await world.clock.advance(SECOND_MS);
  });

  afterEach(() => shutdown.abort());

  it('lets streams go on after all hosts were killed', async () => {
    const host = world.startHost(0);
    world.setTargets('v1', 'v2');
    host.versions.addPast([]);
    startKeeper(host);
    await world.clock.advance(SECOND_MS);
    expect(host.versionOf('stream')).to.equal('v1');
  });

  it('writes the streams again that a restored archive has lost', async () => {
    archive.forget();
    await world.clock.advance(SECOND_MS);
    const keys = archive.groups.flatMap(group => group.keys);
    expect(keys).to.have.lengthOf(1);
  });

  it('writes the streams again that its host knows when it begins to decide after the copy', async () => {
    shutdown.abort();
    archive.forget();
    shutdown = new AbortController();
    startKeeper(world.hosts[0]);
    await world.clock.advance(SECOND_MS);
    const keys = archive.groups.flatMap(group => group.keys);
    expect(keys).to.have.lengthOf(1);
  });

  it('writes the newest streams once the archive is back from a long outage', async () => {
    archive.isDown = true;
    for (const count of [16_000, 1_000]) {
      for (let i = 0; i < count; i += 1)
        world.hosts[0].begin(`${count}-${i}`, 'v1');
      await world.clock.advance(SECOND_MS);
    }
    archive.isDown = false;
    await world.clock.advance(3 * SECOND_MS);
    const host = world.startHost(0);
    world.setTargets('v1', 'v2');
    host.versions.addPast([]);
    startKeeper(host);
    await world.clock.advance(SECOND_MS);
    expect(host.versionOf('1000-999')).to.equal('v1');
  });
});
