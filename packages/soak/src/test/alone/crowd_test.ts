import {expect} from 'chai';
import {CrowdCaller, whenSettled} from '../../lib/crowd.js';
import {CrowdDaemon} from '../../lib/crowd_daemon.js';
import {CrowdHost} from '../../lib/crowd_host.js';
import {
  CrowdRequest,
  bodyBehindSlowAnswers,
  manyRequests,
  openExtension,
  openHead,
  openTrailer,
  overLimitToDaemon,
  pipelinedHeads,
  pipelinedLarge,
  pipelinedToDaemon,
  shortBody,
  shortFrame,
  shortOfLength,
  shortToDaemon,
  silence,
  wholeBodies,
  wholeToDaemon,
} from '../../lib/crowd_requests.js';
import {CrowdTarget} from '../../lib/crowd_target.js';
import {ProcessUsage} from '../../lib/process_usage.js';

/** Settings of a host that describe its machine. */
interface Machine extends Record<string, number> {
  MemoryMb: number;
  MaxFds: number;
}

/** Settings that describe two machines of the platform, one its smallest. */
const SMALL: Machine = {MemoryMb: 210, MaxFds: 2_212};
const MIDDLE: Machine = {MemoryMb: 350, MaxFds: 4_100};

/** Connections that the settings of a daemon allow. */
const DAEMON_CONNECTIONS = 1_000;

const BYTES_PER_MB = 1_000_000;
const OK = 200;

interface Crowd {
  callers: number;
  /** What each of them sends. */
  sends: CrowdRequest;
  /** Whether they read answers; true by default. */
  reads?: boolean;
}

describe('A process pressed by a crowd', () => {
  let target: CrowdTarget | undefined;
  let usage: ProcessUsage | undefined;
  let callers: CrowdCaller[] = [];

  afterEach(async () => {
    for (const caller of callers) caller.destroy();
    callers = [];
    usage?.stop();
    await target?.dispose();
    target = undefined;
  });

  async function startHost(machine = SMALL): Promise<CrowdHost> {
    const host = await CrowdHost.start(machine);
    target = host;
    return host;
  }

  async function startDaemon(): Promise<CrowdDaemon> {
    const daemon = await CrowdDaemon.start({
      memoryMb: MIDDLE.MemoryMb,
      bodyBytes: 4_194_304,
      connections: DAEMON_CONNECTIONS,
    });
    target = daemon;
    return daemon;
  }

  /** Lets crowds press a process until it takes no more of them. */
  async function press(
    pressed: CrowdTarget,
    crowds: ReadonlyArray<[url: string, crowd: Crowd]>,
  ): Promise<void> {
    usage = new ProcessUsage(pressed.pid);
    for (const [url, {callers: count, reads, sends}] of crowds) {
      for (let i = 0; i < count; i++) {
        const caller = new CrowdCaller(url, reads);
        callers.push(caller);
        void caller.send(sends(`c${i}`));
      }
    }
    await whenSettled(callers);
  }

  /**
   * Checks that a process stays within its machine, and that it answers an
   * ordinary request while the connections of the crowd are open.
   */
  async function expectServing(
    pressed: CrowdTarget,
    machine: Machine,
  ): Promise<void> {
    expect(pressed.unexpectedExits, 'ends').to.deep.equal([]);
    const status = await pressed.callOnce();
    const bytes = (await usage!.maxResidentBytes()) ?? Infinity;
    expect(pressed.unexpectedExits, 'ends').to.deep.equal([]);
    expect(bytes / BYTES_PER_MB, 'memory').to.be.at.most(machine.MemoryMb);
    expect(usage!.maxDescriptors, 'descriptors').to.be.at.most(machine.MaxFds);
    expect(status, 'status of the ordinary request').to.equal(OK);
  }

  const overLimit = shortBody(65_536, 2 ** 25);
  const unknownKey = shortBody(1, undefined, 'unknown');
  const hostCrowds: Array<[string, Crowd]> = [
    ['64 KiB chunks', {callers: 300, sends: shortBody(65_536)}],
    ['1-byte chunks', {callers: 300, sends: shortBody(1, 524_288)}],
    ['bodies of a length', {callers: 300, sends: shortOfLength(63)}],
    ['bodies over the limit', {callers: 300, sends: overLimit}],
    ['whole bodies', {callers: 100, sends: wholeBodies(3)}],
    ['1-byte chunks of an unknown key', {callers: 200, sends: unknownKey}],
    ['bodies behind slow answers', {callers: 60, sends: bodyBehindSlowAnswers}],
    ['pipelined heads', {callers: 100, sends: pipelinedHeads}],
    ['unread answers', {callers: 150, sends: pipelinedLarge, reads: false}],
    ['open trailers', {callers: 900, sends: openTrailer}],
    ['open chunk extensions', {callers: 200, sends: openExtension}],
  ];
  for (const [name, crowd] of hostCrowds) {
    it(`serves others beside ${crowd.callers} callers with ${name}`, async () => {
      const host = await startHost();
      await press(host, [[host.url, crowd]]);
      await expectServing(host, SMALL);
    });
  }

  it('keeps its configuration beside 300 callers with 700-byte chunks', async () => {
    const host = await startHost();
    await press(host, [[host.url, {callers: 300, sends: shortBody(700)}]]);
    await expectServing(host, SMALL);
    expect(await host.log()).not.to.include('event=configuration_stale');
  });

  it('serves others beside 2700 callers with open heads', async () => {
    const host = await startHost(MIDDLE);
    await press(host, [[host.url, {callers: 2_700, sends: openHead}]]);
    await expectServing(host, MIDDLE);
  });

  it('serves others beside 800 silent connections at each port', async () => {
    const host = await startHost();
    const crowd = {callers: 800, sends: silence};
    const {metricsUrl, peersUrl, readyUrl, url} = host;
    const urls = [url, readyUrl, metricsUrl, peersUrl];
    await press(
      host,
      urls.map(each => [each, crowd]),
    );
    await expectServing(host, SMALL);
  });

  it('serves others beside 300 probes that do not read', async () => {
    const host = await startHost();
    const sends = manyRequests('/readyz', 20_000);
    await press(host, [[host.readyUrl, {callers: 300, sends, reads: false}]]);
    await expectServing(host, SMALL);
  });

  it('serves others beside 100 scrapers that do not read', async () => {
    const host = await startHost();
    const sends = manyRequests('/metrics', 1_000);
    await press(host, [[host.metricsUrl, {callers: 100, sends, reads: false}]]);
    await expectServing(host, SMALL);
  });

  it('serves others beside 200 links with unfinished frames', async () => {
    const host = await startHost();
    await press(host, [[host.peersUrl, {callers: 200, sends: shortFrame}]]);
    await expectServing(host, SMALL);
  });

  const largePipelined = pipelinedToDaemon(60_000);
  const daemonCrowds: Array<[string, Crowd]> = [
    ['bodies of a length', {callers: 300, sends: shortToDaemon}],
    ['bodies over the limit', {callers: 300, sends: overLimitToDaemon}],
    ['whole bodies', {callers: 100, sends: wholeToDaemon}],
    [
      'pipelined requests',
      {callers: 150, sends: pipelinedToDaemon(0), reads: false},
    ],
    ['pipelined bodies', {callers: 60, sends: largePipelined, reads: false}],
    ['nothing', {callers: 1_200, sends: silence}],
  ];
  for (const [name, crowd] of daemonCrowds) {
    it(`serves others beside ${crowd.callers} callers with ${name} (daemon)`, async () => {
      const daemon = await startDaemon();
      await press(daemon, [[daemon.url, crowd]]);
      await expectServing(daemon, MIDDLE);
    });
  }
});
