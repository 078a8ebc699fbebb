/** A fake zone with a controllable log, links and clocks. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  CallOptions,
  LogError,
  LogPage,
  LogRecord,
  ManualClock,
  Membership,
  NotificationHandler,
  PEER_ERROR,
  PeerError,
  PeerIdentity,
  PeerMethod,
  PeerNetwork,
  PlatformLog,
  Random,
  RecordIdGenerator,
  ReadOptions,
  SilentLogger,
  StoredRecord,
  UnaryPeerHandler,
  ZoneStream,
} from '../../index.js';

const STEP_MS = 100;
const POLL_MS = 200;
const LATENCY_MS = 50;
const ZONE = 'a';

/** Longer than all tests run, except for those that expire records. */
export const RETENTION_MS = 200_000;

type Handler = UnaryPeerHandler<unknown, unknown>;

/** The clock, the log and the links of all hosts of one zone. */
export class FakeZone {
  readonly clock = new ManualClock();
  readonly records: StoredRecord[] = [];
  /** Records before this offset have expired. */
  first = 0;
  readonly hosts = new Map<string, FakeHost>();
  readonly cutLinks = new Set<string>();
  isLogDown = false;
  private readonly otherStreams = new Map<string, StoredRecord[]>();
  private starts = 0;

  /** @returns the records of the stream of this zone or of another one. */
  recordsOf(stream: string): StoredRecord[] {
    if (stream === `zone.${ZONE}`) return this.records;
    const held = this.otherStreams.get(stream) ?? [];
    this.otherStreams.set(stream, held);
    return held;
  }

  /** Starts a host, or restarts it if it runs. */
  start(name: string, zone = ZONE): FakeHost {
    const known = this.hosts.get(name);
    known?.stop();
    this.starts += 1;
    const host = new FakeHost(this, {
      host: name,
      zone,
      incarnation: `${name}.${this.starts}`,
    });
    host.isCutFromLog = known?.isCutFromLog ?? false;
    this.hosts.set(name, host);
    host.run();
    return host;
  }

  /** Advances all clocks in steps; `onStep` is called after each step. */
  async advance(durationMs: number, onStep: () => void): Promise<void> {
    for (let movedMs = 0; movedMs < durationMs; movedMs += STEP_MS) {
      await this.clock.advance(STEP_MS);
      for (const host of this.hosts.values()) {
        if (host.isPaused) host.clock.pause(STEP_MS);
        else await host.clock.advance(STEP_MS);
      }
      onStep();
    }
  }

  /** @returns whether messages between two hosts are delivered. */
  isLinked(a: string, b: string): boolean {
    return !this.cutLinks.has([a, b].sort().join());
  }

  /** Cuts the link between two hosts, or restores it if it is cut. */
  toggleLink(a: string, b: string): void {
    const link = [a, b].sort().join();
    if (!this.cutLinks.delete(link)) this.cutLinks.add(link);
  }
}

/** One host of a {@link FakeZone}. */
export class FakeHost {
  readonly clock = new ManualClock();
  readonly network: FakeNetwork;
  readonly membership: Membership;
  isPaused = false;
  isCutFromLog = false;
  /** Number of next appends that take effect but whose response is lost. */
  loseAnswers = 0;
  /** Time that an append takes to reach the log, in milliseconds. */
  appendMs = LATENCY_MS;
  private readonly stream: ZoneStream;
  private readonly lifetime = new AbortController();

  constructor(zone: FakeZone, self: PeerIdentity) {
    this.network = new FakeNetwork(zone, this, self);
    const {incarnation} = self;
    const logger = new SilentLogger();
    const {clock, network} = this;
    const ids = new RecordIdGenerator(incarnation);
    const log = new FakeLog(zone, this);
    const snapshots = {random: new Random(1), retentionMs: RETENTION_MS};
    this.stream = new ZoneStream({
      zone: self.zone,
      log,
      clock,
      logger,
      ids,
      snapshots,
    });
    const {stream} = this;
    const hostList = undefined;
    const options = {stream, network, clock, logger, ids, hostList};
    this.membership = new Membership(options);
  }

  /** Fencing number of the host; undefined if it has no authority. */
  get fencing(): number | undefined {
    const authority = this.membership.lease.check();
    return authority.isOk() ? authority.value.fencing : undefined;
  }

  run(): void {
    const {signal} = this.lifetime;
    const address = {address: '127.0.0.1', port: 1};
    const self = {...this.network.self, peer: address, operator: address};
    void this.stream.run(signal);
    void this.stream.caughtUp().then(async () => {
      await this.membership.join(self, signal);
      await this.membership.run(signal);
    });
  }

  /** Simulates a crash of the process. */
  stop(): void {
    this.lifetime.abort();
    this.network.isDead = true;
  }
}

class FakeLog extends PlatformLog {
  constructor(
    private readonly zone: FakeZone,
    private readonly host: FakeHost,
  ) {
    super();
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
  ): Promise<Result<number[], LogError>> {
    const {zone, host} = this;
    const isCut = zone.isLogDown || host.isCutFromLog;
    await zone.clock.sleep(isCut ? LATENCY_MS : host.appendMs);
    const held = zone.recordsOf(stream);
    const offsets = isCut ? [] : records.map(item => this.store(held, item));
    await host.clock.sleep(0);
    if (!isCut && host.loseAnswers === 0) return ok(offsets);
    if (!isCut) host.loseAnswers -= 1;
    return err({type: 'log-unavailable', message: 'cut'});
  }

  override async read(
    stream: string,
    from: number,
    {waitMs, signal}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const {zone, host} = this;
    for (let waitedMs = 0; !signal.aborted; waitedMs += POLL_MS) {
      await host.clock.sleep(POLL_MS / 2, signal);
      if (zone.isLogDown || host.isCutFromLog) break;
      const {first} = zone;
      const start = Math.max(from, first);
      const records = zone.recordsOf(stream).slice(start);
      await host.clock.sleep(POLL_MS / 2, signal);
      if (records.length > 0 || waitedMs >= waitMs) {
        return ok({records, next: start + records.length, first});
      }
    }
    return err({type: 'log-unavailable', message: 'cut'});
  }

  private store(records: StoredRecord[], record: LogRecord): number {
    const {clock} = this.zone;
    const offset = records.length;
    const body: unknown = structuredClone(record.body);
    records.push({id: record.id, body, offset, atMs: clock.now()});
    return offset;
  }
}

class FakeNetwork extends PeerNetwork {
  isDead = false;
  private readonly handlers = new Map<string, Handler>();

  constructor(
    private readonly zone: FakeZone,
    private readonly host: FakeHost,
    override readonly self: PeerIdentity,
  ) {
    super();
  }

  /** @returns only hosts of other zones; members are known through the log. */
  override connected(): PeerIdentity[] {
    const others = [...this.zone.hosts.values()].map(({network}) => network);
    return others
      .filter(({isDead, self}) => !isDead && self.zone !== this.self.zone)
      .map(({self}) => self);
  }

  override async call<Body, Event>(
    name: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    {timeoutMs}: CallOptions,
  ): Promise<Result<Event, PeerError>> {
    const lost = this.host.clock
      .sleep(timeoutMs)
      .then(() => err({type: PEER_ERROR.lost, message: 'timed out'}));
    const answered = this.deliver(name, method.name, structuredClone(body));
    return Promise.race([lost, answered as Promise<Result<Event, PeerError>>]);
  }

  override serveUnary<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: UnaryPeerHandler<Body, Event>,
  ): void {
    this.handlers.set(method.name, handler as Handler);
  }

  private async deliver(name: string, method: string, body: unknown) {
    const {zone, self} = this;
    await this.waitInFlight(name);
    const target = zone.hosts.get(name);
    if (target === undefined) return new Promise<never>(() => {});
    // A paused process handles the message after it resumes.
    await target.clock.sleep(0);
    const context = {from: self, signal: new AbortController().signal};
    const answer = await target.network.handlers.get(method)!(body, context);
    await this.waitInFlight(name);
    await this.host.clock.sleep(0);
    return ok(answer);
  }

  private async waitInFlight(name: string): Promise<void> {
    await this.zone.clock.sleep(LATENCY_MS);
    const isCut = !this.zone.isLinked(this.self.host, name);
    if (isCut || this.isDead || this.zone.hosts.get(name)?.network.isDead) {
      await new Promise<never>(() => {});
    }
  }

  override async *open(): AsyncGenerator<never, void> {}
  override serve(): void {}
  override notify(): boolean {
    return false;
  }
  override onNotification<Body>(
    unusedMethod: PeerMethod<Body, never>,
    unusedHandler: NotificationHandler<Body>,
  ): void {}
}

/** @returns the types of the zone's records in log order. */
export function recordTypes(zone: FakeZone): string[] {
  return zone.records.map(({body}) => (body as {type: string}).type);
}
