/** Synchronization of the configuration between peers, in addition to the log. @packageDocumentation */

import {z} from 'zod';
import {PeerIdentity, PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {StoredRecord} from '../platform/platform_log.js';
import {
  StreamSnapshot,
  streamSnapshotSchema,
} from '../platform/stream_snapshot.js';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {withTimeout} from '../time/timeout.js';
import {Random} from '../time/random.js';
import {ConfigStore} from './config_store.js';

/** Interval between exchanges of positions. */
const EXCHANGE_INTERVAL_MS = 1_000;

/** Configuration age above which a host asks its peers for theirs. */
const STALE_AGE_MS = 3_000;

/**
 * Delay before pulling records from a peer that is ahead, in which they may
 * still arrive from the log.
 */
const PULL_DELAY_MS = 150;

/** Number of hosts per zone that exchange positions with other zones. */
const REMOTE_EXCHANGERS_PER_ZONE = 2;

const CALL_TIMEOUT_MS = 2_000;
const PULL_TIMEOUT_MS = 20_000;
const SNAPSHOT_PART_CHARS = 256 * 1024;

const positionSchema = z.object({
  /** Offset up to which the stream was read; -1 if the reader has no base. */
  position: z.number().int(),
  version: z.number().int(),
  /** Age of the configuration in milliseconds; null if unknown. */
  ageMs: z.number().nullable(),
});

/** How far a host has read the `config` stream. */
export type ConfigPosition = z.output<typeof positionSchema>;

/** One-way message that sends the sender's position to a peer of its zone. */
const SEND_POSITION: PeerMethod<ConfigPosition, never> = {
  name: 'config.position',
  body: positionSchema,
  event: z.never(),
};

/** Call in which two hosts exchange their positions. */
export const EXCHANGE_POSITIONS: PeerMethod<ConfigPosition, ConfigPosition> = {
  name: 'config.exchange',
  body: positionSchema,
  event: positionSchema,
};

const pullEventSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('records'),
    next: z.number().int(),
    records: z.array(
      z.object({
        offset: z.number().int(),
        id: z.string(),
        atMs: z.number(),
        body: z.unknown(),
      }),
    ),
  }),
  /** A part of a snapshot in JSON; the last part is marked. */
  z.object({type: z.literal('part'), text: z.string(), last: z.boolean()}),
]);

type PullEvent = z.output<typeof pullEventSchema>;

/**
 * Fetches missing records, or a snapshot in parts if the peer no longer has
 * them.
 */
const PULL_CONFIG: PeerMethod<{position: number}, PullEvent> = {
  name: 'config.pull',
  body: z.object({position: z.number().int()}),
  event: pullEventSchema,
};

/** Dependencies of {@link ConfigSync}. */
export interface ConfigSyncOptions {
  store: ConfigStore;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  random: Random;
  /** Returns one host of each other zone. */
  remoteHosts: () => ReadonlyArray<{host: string; zone: string}>;
  /** Addresses of hosts to start from while the log is unreachable. */
  seeds?: readonly string[];
}

/**
 * Synchronizes the configuration with peers, so that a host receives new
 * versions even if it cannot reach the log.
 *
 * Each host notifies the peers of its zone when its position advances. Two
 * hosts of each zone also exchange positions with one host of every other zone
 * at that time, and with a random one of them every second. A host that is
 * behind waits briefly for the log and then pulls the missing records from the
 * peer. A host whose configuration is stale exchanges positions with a random
 * peer of its zone to learn whether the peer has read the log more recently.
 */
export class ConfigSync {
  private isPulling = false;
  private sentPosition = -1;
  private lifetime = new AbortController().signal;

  constructor(private readonly options: ConfigSyncOptions) {
    const {network} = options;
    network.onNotification(SEND_POSITION, (position, from) =>
      this.recordPeerPosition(from.host, position),
    );
    network.serveUnary(EXCHANGE_POSITIONS, (position, {from}) => {
      this.recordPeerPosition(from.host, position);
      return this.position();
    });
    network.serve(PULL_CONFIG, ({position}) => this.servePull(position));
  }

  /** Returns the position of this host. */
  position(): ConfigPosition {
    const {store} = this.options;
    const {reader} = store.tail;
    const ageMs = store.ageMs();
    return {
      position: reader.hasBase ? reader.position : -1,
      version: store.state.version,
      ageMs: Number.isFinite(ageMs) ? ageMs : null,
    };
  }

  /**
   * Exchanges positions until the signal aborts.
   *
   * @param signal - stops the exchanges.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {store, clock} = this.options;
    this.lifetime = signal;
    store.onChange(() => this.sendPosition(signal));
    await clock.every(EXCHANGE_INTERVAL_MS, signal, () => {
      this.sendPosition(signal);
      const peers = this.choosePeers();
      for (const host of peers) void this.exchange(host, signal);
    });
  }

  /**
   * Pulls the configuration from the seeds if the log is unreachable at
   * startup. Returns once this host has a configuration.
   *
   * @param signal - stops the attempts.
   */
  async startFromSeeds(signal: AbortSignal): Promise<void> {
    const {store, clock, seeds = []} = this.options;
    await clock.sleep(STALE_AGE_MS, signal);
    while (!signal.aborted && store.tail.lastCaughtUpAtMs === undefined) {
      for (const seed of seeds) await this.pull(seed, signal);
      if (store.state.version > 0) return store.markReadyFromPeers();
      await clock.sleep(EXCHANGE_INTERVAL_MS, signal);
    }
  }

  /** Sends the position to peers if it has advanced since it was last sent. */
  private sendPosition(signal: AbortSignal): void {
    const position = this.position();
    if (position.position === this.sentPosition) return;
    this.sentPosition = position.position;
    const {network} = this.options;
    for (const {host} of this.zonePeers()) {
      network.notify(host, SEND_POSITION, position);
    }
    if (!this.shouldExchangeWithZones()) return;
    for (const {host} of this.options.remoteHosts()) {
      void this.exchange(host, signal);
    }
  }

  private choosePeers(): string[] {
    const {random, store} = this.options;
    const chosen: string[] = [];
    const zonePeers = this.zonePeers();
    const isStale = store.ageMs() > STALE_AGE_MS;
    if (isStale && zonePeers.length > 0)
      chosen.push(random.pick(zonePeers).host);
    const remoteHosts = this.options.remoteHosts();
    if (this.shouldExchangeWithZones() && remoteHosts.length > 0)
      chosen.push(random.pick(remoteHosts).host);
    return chosen;
  }

  private async exchange(host: string, signal: AbortSignal): Promise<void> {
    const {network, clock, store} = this.options;
    const sentMs = clock.now();
    const options = {timeoutMs: CALL_TIMEOUT_MS, signal};
    const answer = await network.call(
      host,
      EXCHANGE_POSITIONS,
      this.position(),
      options,
    );
    if (answer.isErr()) return;
    const {position, ageMs} = answer.value;
    this.recordPeerPosition(host, answer.value);
    if (ageMs !== null) store.recordPeerConfirmation(position, sentMs - ageMs);
  }

  private recordPeerPosition(host: string, {position}: ConfigPosition): void {
    if (this.isBehind(position)) void this.pullIfStillBehind(host, position);
  }

  private isBehind(position: number): boolean {
    const {reader} = this.options.store.tail;
    if (reader.hasBase) return position > reader.position;
    return position >= reader.position;
  }

  private async pullIfStillBehind(
    host: string,
    position: number,
  ): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    const signal = this.lifetime;
    await this.options.clock.sleep(PULL_DELAY_MS, signal);
    if (this.isBehind(position)) await this.pull(host, signal);
    this.isPulling = false;
  }

  private async pull(host: string, signal: AbortSignal): Promise<void> {
    await withTimeout(PULL_TIMEOUT_MS, signal, limited =>
      this.readPull(host, limited),
    );
    const {position} = this.options.store.tail;
    this.options.logger.info('config_pulled', {from: host, position});
  }

  private async readPull(host: string, signal: AbortSignal): Promise<void> {
    const {network, store} = this.options;
    const {reader} = store.tail;
    const position = reader.hasBase ? reader.position : -1;
    const parts: string[] = [];
    for await (const event of network.open(
      host,
      PULL_CONFIG,
      {position},
      signal,
    )) {
      if (event.isErr()) return;
      if (event.value.type === 'records') {
        const {records, next} = event.value;
        const stored = records as StoredRecord[];
        store.tail.applyPage({records: stored, next, first: 0});
      } else {
        parts.push(event.value.text);
        if (event.value.last) this.adopt(parts.join(''));
      }
    }
  }

  private adopt(json: string): void {
    const {store, logger} = this.options;
    const snapshot = streamSnapshotSchema.safeParse(parseJson(json));
    if (!snapshot.success) {
      logger.warn('config_snapshot_malformed', {});
      return;
    }
    if (store.tail.reader.adopt(snapshot.data)) store.notifyChanged();
  }

  private async *servePull(position: number): AsyncGenerator<PullEvent> {
    const {reader} = this.options.store.tail;
    if (!reader.hasBase || position >= reader.position) return;
    const records = reader.recordsFrom(position);
    if (records !== undefined) {
      yield {type: 'records', records, next: reader.position};
      return;
    }
    yield* splitSnapshot(reader.snapshot(false, 0));
  }

  private zonePeers(): PeerIdentity[] {
    const {network} = this.options;
    const {zone, host} = network.self;
    return network
      .connected()
      .filter(peer => peer.zone === zone && peer.host !== host);
  }

  /**
   * Whether this host exchanges positions with other zones. The first hosts of
   * the zone by name do, so no election is needed.
   */
  private shouldExchangeWithZones(): boolean {
    const {host} = this.options.network.self;
    const before = this.zonePeers().filter(peer => peer.host < host);
    return before.length < REMOTE_EXCHANGERS_PER_ZONE;
  }
}

function* splitSnapshot(snapshot: StreamSnapshot): Generator<PullEvent> {
  const json = JSON.stringify(snapshot);
  for (let start = 0; start < json.length; start += SNAPSHOT_PART_CHARS) {
    const end = start + SNAPSHOT_PART_CHARS;
    const text = json.slice(start, end);
    yield {type: 'part', text, last: end >= json.length};
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
