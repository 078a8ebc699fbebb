/** Tells hosts where streams have begun. @packageDocumentation */

import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {
  EXCHANGE_ORIGINS,
  PUBLISH_ORIGINS,
  REPORT_ORIGINS,
  VersionKnowledge,
} from './origin_messages.js';
import {ServiceVersions} from './service_versions.js';
import {
  ORIGIN_LIFETIME_MS,
  OriginGroup,
  StreamOrigin,
  StreamOrigins,
  mergeGroups,
} from './stream_origins.js';

/** Time in which streams are collected before they are sent. */
const SEND_DELAY_MS = 20;

/** Additional time in which the passing host collects them, for each host. */
const SEND_DELAY_MS_PER_HOST = 2;

/** Delay before streams that could not be sent are sent again. */
const RESEND_DELAY_MS = 250;

/** Interval of exchanges with one that does not know the past yet. */
const UNINFORMED_INTERVAL_MS = 1_000;

const CALL_TIMEOUT_MS = 500;

/** The host that passes on what the others tell it. */
export interface PassingHost {
  host: string;
  incarnation: string;
}

/** Dependencies of an {@link OriginExchange}. */
export interface OriginExchangeParts {
  clock: Clock;
  network: PeerNetwork;
  origins: StreamOrigins;
  versions: ServiceVersions;
  /** The passing host, while it is heard; it may be this host. */
  passingHost: () => PassingHost | undefined;
  hostCount: () => number;
}

/**
 * Lets every host know where streams have begun, so that each can continue them
 * when the host that served them is lost. One host passes on what the others
 * tell it. As long as a service runs one version, nothing is sent.
 */
export class OriginExchange {
  private readonly toPass: OriginGroup[] = [];
  private readonly passListeners: Array<
    (groups: readonly OriginGroup[]) => void
  > = [];
  private isSendScheduled = false;
  private isPassScheduled = false;
  /** Incarnation of the passing host that knows what this host knows. */
  private exchangedWith = '';
  private nextExchangeMs = -Infinity;

  /** @param parts - see {@link OriginExchangeParts}. */
  constructor(private readonly parts: OriginExchangeParts) {
    const {network, origins, versions} = parts;
    versions.onChange(() => this.scheduleSend());
    network.onNotification(REPORT_ORIGINS, ({groups}) => {
      this.pass(origins.addGroups(groups));
    });
    network.onNotification(PUBLISH_ORIGINS, ({groups}) => {
      origins.addGroups(groups);
    });
    network.serveUnary(EXCHANGE_ORIGINS, knowledge => {
      // A rejected call makes the host ask again once it knows the new one.
      if (!this.isPassing) throw new Error('not the passing host');
      const groups = knowledge.knowsStreams ? [] : this.mixedStreams();
      const reply = this.knowledge(groups);
      if (knowledge.knowsPast && !versions.knowsPast)
        versions.addPast(knowledge.past);
      this.pass(origins.addGroups(knowledge.groups));
      return reply;
    });
  }

  /**
   * Records a stream that has begun at this host.
   *
   * @param key - its key, see {@link streamKey}.
   * @param origin - the service and the version that began it.
   */
  recordBegun(key: string, origin: StreamOrigin): void {
    this.parts.origins.addOwn(key, origin);
    if (this.isMixed(origin.service)) this.scheduleSend();
  }

  /** @param listener - called with the streams that this host passes on. */
  onPass(listener: (groups: readonly OriginGroup[]) => void): void {
    this.passListeners.push(listener);
  }

  /** Returns all known streams of services that run several versions. */
  mixedStreams(): OriginGroup[] {
    return this.parts.origins.all(service => this.isMixed(service));
  }

  /**
   * Adds streams that were archived, and passes them on.
   *
   * @param groups - the streams.
   */
  addArchived(groups: readonly OriginGroup[]): void {
    this.broadcastSoon(this.parts.origins.addGroups(groups));
  }

  /**
   * Exchanges knowledge with each new passing host until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, versions} = this.parts;
    while (!signal.aborted) {
      await this.exchange(signal);
      await clock.sleep(versions.idleMs, signal);
    }
  }

  private async exchange(signal: AbortSignal): Promise<void> {
    const {clock, network, origins, versions} = this.parts;
    const passing = this.parts.passingHost();
    if (passing === undefined) return;
    if (this.isPassing) {
      this.exchangedWith = passing.incarnation;
      return;
    }
    const isNew = passing.incarnation !== this.exchangedWith;
    const isDue = !versions.knowsPast && clock.now() >= this.nextExchangeMs;
    if (!isNew && !isDue) return;
    const own = origins.own(service => this.isMixed(service));
    const knowsStreams = this.exchangedWith !== '';
    const reply = await network.call(
      passing.host,
      EXCHANGE_ORIGINS,
      {...this.knowledge(own), knowsStreams},
      {timeoutMs: CALL_TIMEOUT_MS, signal},
    );
    if (reply.isErr()) return;
    const {groups, knowsPast, past} = reply.value;
    origins.addGroups(groups);
    this.exchangedWith = passing.incarnation;
    this.nextExchangeMs = clock.now() + UNINFORMED_INTERVAL_MS;
    if (knowsPast) versions.addPast(past);
  }

  private knowledge(groups: OriginGroup[]): VersionKnowledge {
    const {versions} = this.parts;
    const {knowsPast} = versions;
    return {groups, knowsPast, past: versions.past()};
  }

  private get isPassing(): boolean {
    const {network, passingHost} = this.parts;
    return passingHost()?.incarnation === network.self.incarnation;
  }

  private isMixed(service: string): boolean {
    return this.parts.versions.isMixed(service, ORIGIN_LIFETIME_MS);
  }

  private scheduleSend(delayMs = SEND_DELAY_MS): void {
    if (this.isSendScheduled) return;
    this.isSendScheduled = true;
    this.parts.clock.after(delayMs, () => this.send());
  }

  /** Sends the streams of this host in services that run several versions. */
  private send(): void {
    const {network, origins, passingHost} = this.parts;
    this.isSendScheduled = false;
    const groups = origins.takeUnsent(service => this.isMixed(service));
    if (groups.length === 0) return;
    if (this.isPassing) {
      this.pass(groups);
      return;
    }
    const receiver = passingHost()?.host;
    const isSent =
      receiver !== undefined &&
      network.notify(receiver, REPORT_ORIGINS, {groups});
    if (isSent) return;
    origins.markUnsent(groups);
    this.scheduleSend(RESEND_DELAY_MS);
  }

  private pass(groups: readonly OriginGroup[]): void {
    if (groups.length === 0) return;
    for (const listener of this.passListeners) listener(groups);
    this.broadcastSoon(groups);
  }

  private broadcastSoon(groups: readonly OriginGroup[]): void {
    if (groups.length === 0) return;
    this.toPass.push(...groups);
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    const {clock, hostCount, network} = this.parts;
    const delayMs = SEND_DELAY_MS + hostCount() * SEND_DELAY_MS_PER_HOST;
    clock.after(delayMs, () => {
      this.isPassScheduled = false;
      const passed = mergeGroups(this.toPass.splice(0));
      network.broadcast(PUBLISH_ORIGINS, {groups: passed});
    });
  }
}
