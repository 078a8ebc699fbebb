/** Updates of configuration and targets that one host distributes to the others. @packageDocumentation */

import {parseSocketAddress} from '../net/socket_address.js';
import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {ZoneEvacuations} from '../evacuation/zone_evacuations.js';
import {Clock} from '../time/clock.js';
import {
  EvacuationSet,
  applyEvacuationSet,
  evacuationSetOf,
} from '../evacuation/evacuation_messages.js';
import {DeploymentState} from './deployment_state.js';
import {ConfigSources} from './config_sources.js';
import {RegistrationSummary, isNewsOf} from './target_registration.js';
import {Freshness} from './freshness.js';
import {ProcessReports} from './process_reports.js';
import {StoreRefill} from './store_refill.js';
import {TargetTable} from './target_table.js';
import {
  GET_CONFIG,
  GET_UPDATES,
  TARGET_ENDED,
  TARGET_LEAVING,
  UPDATE_HINT,
  UpdateReply,
  UpdateRequest,
} from './update_messages.js';

/**
 * Time between requests to the reader, as a fraction of the lifetime of a
 * reply.
 */
const POLL_INTERVAL_FRACTION = 0.45;

/** Time limit for a reply of the reader. */
const UPDATE_TIMEOUT_MS = 500;

/**
 * By how much a reply may seem older than the data already known, because
 * requests differ in their network latency.
 */
const AGE_TOLERANCE_MS = 100;

/**
 * Time limit to fetch a configuration from another host that has it or is about
 * to have it. After it the store is read, well within the time in which the
 * withdrawal of an API key must take effect.
 */
const CONFIG_TIMEOUT_MS = 400;

/** Time between checks whether that configuration is in force here. */
const CONFIG_POLL_MS = 20;

/**
 * Maximum size of a configuration sent by a host; the store has more bandwidth.
 */
const MAX_CONFIG_BYTES = 128 * 1_024;

/** Time between checks whether there is a reader. */
const NO_READER_POLL_MS = 100;

/** The host that reads the store for the others. */
export interface StoreReader {
  host: string;
  incarnation: string;
}

/** A configuration in the encoding of the store. */
export interface EncodedConfig {
  version: number;
  bytes: Uint8Array;
}

/** Dependencies of a {@link PeerUpdates}. */
export interface PeerUpdatesParts {
  clock: Clock;
  network: PeerNetwork;
  /** Availability zone of this host. */
  zone: string;
  state: DeploymentState;
  freshness: Freshness;
  targets: TargetTable;
  evacuations: ZoneEvacuations;
  /** Knows whether the store may lack records. */
  refill: StoreRefill;
  /**
   * Age up to which data of the store need not be read again, counted from the
   * reader's own read.
   */
  lifetimeMs: number;
  /** Clock time of this host's last read of the targets. */
  targetsReadMs: () => number;
  /**
   * The reader, while its messages arrive; this host itself if it is the
   * reader.
   */
  reader: () => StoreReader | undefined;
  /** The configuration in force; undefined if there is none yet. */
  encodedConfig: () => EncodedConfig | undefined;
  /** Applies a configuration that another host has read. */
  applyEncodedConfig: (bytes: Uint8Array) => void;
}

/**
 * Saves calls to the store: one host, the reader, reads it, and the others poll
 * the reader. The data of a reply is dated to the time of the request minus the
 * age that the reader states, so that a slow link never makes data look newer
 * than it is.
 */
export class PeerUpdates {
  /** Clock times at which the store had returned the data of the last reply. */
  private configMs = -Infinity;
  private targetsMs = -Infinity;
  private lastReply = {reader: '', revision: 0};
  private readerVersion = -Infinity;
  private hasReaderEvacuations = false;
  private hintedRevision = 0;
  private hintedVersion = -Infinity;
  private hintedEvacuations: number;
  private wake = new AbortController();
  private readonly sources: ConfigSources;
  private readonly reports: readonly ProcessReports[];
  /** Whether a configuration is being fetched from another host. */
  private isFetchingConfig = false;

  /** @param parts - the dependencies, see {@link PeerUpdatesParts}. */
  constructor(private readonly parts: PeerUpdatesParts) {
    const {evacuations, network, refill, targets} = parts;
    this.hintedEvacuations = evacuations.revision;
    this.sources = new ConfigSources(network.self, parts.zone);
    network.serveUnary(GET_UPDATES, (request, {from}) =>
      this.serveUpdate(request, from),
    );
    network.serveUnary(GET_CONFIG, ({version}, {signal}) =>
      this.serveConfig(version, signal),
    );
    network.onNotification(UPDATE_HINT, hint => {
      refill.recordState(hint.refill);
      this.applyEvacuations(hint.evacuations);
      this.wake.abort();
    });
    evacuations.onChange(() => this.broadcastHint());
    const broadcast = () => this.broadcastHint();
    const reportParts = {network, reader: parts.reader, broadcast};
    const leaving = new ProcessReports(TARGET_LEAVING, {
      ...reportParts,
      apply: ({target, startedMs}) => targets.markLeaving(target, startedMs),
    });
    const ended = new ProcessReports(TARGET_ENDED, {
      ...reportParts,
      apply: ({target, startedMs}) => targets.markEnded(target, startedMs),
    });
    targets.onLeaving(({registration}) => leaving.add(registration));
    targets.onEnded(({registration}) => ended.add(registration));
    this.reports = [leaving, ended];
  }

  /** Whether this host is the reader. */
  private get isReader(): boolean {
    const {network, reader} = this.parts;
    return reader()?.incarnation === network.self.incarnation;
  }

  /** Age of the targets in the reader's last reply, in milliseconds. */
  get targetsAgeMs(): number {
    return this.parts.clock.now() - this.targetsMs;
  }

  /** Whether the targets are fresh enough that the store need not be read. */
  get hasFreshTargets(): boolean {
    return !this.isReader && this.isWithinLifetime(this.targetsMs);
  }

  /**
   * Whether the configuration is fresh enough that the store need not be read.
   */
  get hasFreshConfig(): boolean {
    if (this.isReader || !this.isWithinLifetime(this.configMs)) return false;
    // Its reply says nothing of the operator's other records.
    if (!this.hasReaderEvacuations) return false;
    return this.isFetchingConfig || this.readerVersion === this.ownVersion;
  }

  private get ownVersion(): number {
    return this.parts.state.current?.deployment.version ?? -Infinity;
  }

  private isWithinLifetime(asOfMs: number): boolean {
    return this.parts.clock.now() - asOfMs < this.parts.lifetimeMs;
  }

  /** Notifies the other hosts of updates, if this host is the reader. */
  broadcastHint(): void {
    const {clock, evacuations, network, refill, state, targets} = this.parts;
    const version = state.current?.deployment.version ?? 0;
    const {revision} = targets;
    const hasNewEvacuations = evacuations.revision !== this.hintedEvacuations;
    const isNew =
      revision !== this.hintedRevision ||
      version !== this.hintedVersion ||
      hasNewEvacuations;
    if (!isNew || !this.isReader) return;
    this.hintedRevision = revision;
    this.hintedVersion = version;
    this.hintedEvacuations = evacuations.revision;
    network.broadcast(UPDATE_HINT, {
      revision,
      refill: refill.state,
      evacuations: hasNewEvacuations
        ? evacuationSetOf(evacuations, clock.now())
        : undefined,
    });
  }

  /**
   * Polls the reader until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, reader} = this.parts;
    while (!signal.aborted) {
      const from = reader();
      for (const reports of this.reports) reports.send();
      if (from === undefined || this.isReader) {
        await clock.sleep(NO_READER_POLL_MS, signal);
        continue;
      }
      await this.requestUpdate(from, signal);
      if (this.wake.signal.aborted) this.wake = new AbortController();
      const intervalMs = this.parts.lifetimeMs * POLL_INTERVAL_FRACTION;
      await clock.sleep(intervalMs, this.wake.signal);
    }
  }

  private async requestUpdate(
    reader: StoreReader,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, freshness, network, refill, zone} = this.parts;
    if (this.lastReply.reader !== reader.incarnation) {
      this.lastReply = {reader: reader.incarnation, revision: 0};
    }
    const askedMs = clock.now();
    const request = {...this.lastReply, version: this.ownVersion, zone};
    const reply = await network.call(reader.host, GET_UPDATES, request, {
      timeoutMs: UPDATE_TIMEOUT_MS,
      signal,
    });
    if (reply.isErr()) return;
    const {configAgeMs, source, targetsAgeMs, version} = reply.value;
    refill.recordState(reply.value.refill);
    this.hasReaderEvacuations = reply.value.evacuations !== undefined;
    this.applyEvacuations(reply.value.evacuations);
    this.readerVersion = version;
    this.configMs = askedMs - configAgeMs;
    const targetsMs = askedMs - targetsAgeMs;
    const knownMs = Math.max(this.targetsMs, this.parts.targetsReadMs());
    // An older reply must not add a removed target again.
    if (targetsMs >= knownMs - AGE_TOLERANCE_MS) {
      this.applyTargets(reply.value);
      this.targetsMs = targetsMs;
      this.parts.targets.recordListed(targetsMs);
    }
    if (source !== undefined) await this.fetchConfig(source, version, signal);
    // The configuration in force here is as fresh as the reader's own. A reader
    // that has just started may not know that the store lacks records.
    if (this.hasFreshConfig && !refill.isUnderWay)
      freshness.confirm(this.configMs);
  }

  private applyEvacuations(set: EvacuationSet | undefined): void {
    const {clock, evacuations, refill} = this.parts;
    if (set === undefined) return;
    applyEvacuationSet(evacuations, set, clock.now(), refill.isUnderWay);
  }

  private async fetchConfig(
    source: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {network, applyEncodedConfig} = this.parts;
    this.isFetchingConfig = true;
    const reply = await network.call(
      source,
      GET_CONFIG,
      {version},
      {timeoutMs: CONFIG_TIMEOUT_MS, signal},
    );
    const text = reply.isOk() ? reply.value.text : undefined;
    if (text !== undefined) applyEncodedConfig(text);
    this.isFetchingConfig = false;
  }

  /**
   * Returns a configuration once it is in force here, or nothing on timeout.
   */
  private async serveConfig(
    version: number,
    signal: AbortSignal,
  ): Promise<{text?: Uint8Array}> {
    const {clock, encodedConfig} = this.parts;
    const endMs = clock.now() + CONFIG_TIMEOUT_MS;
    while (this.ownVersion < version && clock.now() < endMs) {
      if (signal.aborted) return {};
      await clock.sleep(CONFIG_POLL_MS, signal);
    }
    const own = encodedConfig();
    if (own === undefined || own.version < version) return {};
    return own.bytes.length > MAX_CONFIG_BYTES ? {} : {text: own.bytes};
  }

  private applyTargets(reply: UpdateReply): void {
    const {refill, targets} = this.parts;
    // A first reply lists all targets. It is asked for again until those that
    // the store may lack have registered again.
    const isFirst = this.lastReply.revision === 0;
    const mayLack = isFirst && refill.isUnderWay && this.hasTargets;
    // A reader that knows of the refill has kept what the store lacks.
    const isOlderCopy = mayLack && !reply.refill?.leftMs;
    for (const {id, notice: registration} of reply.targets) {
      const known = targets.get(id)?.registration;
      if (registration === undefined) targets.remove(id);
      else if (isOlderCopy && !isNewsOf(registration, known)) continue;
      // A reader of another release may pass on what it cannot connect to.
      else if (parseSocketAddress(registration.address) !== undefined)
        targets.putSummary(registration);
    }
    if (mayLack) return;
    if (isFirst) this.removeUnlisted(reply);
    this.lastReply = {...this.lastReply, revision: reply.revision};
  }

  /** Whether this host has learned the targets, from the store or the reader. */
  private get hasTargets(): boolean {
    return Math.max(this.targetsMs, this.parts.targetsReadMs()) > -Infinity;
  }

  /** Removes the targets that are missing in a first reply, which lists all. */
  private removeUnlisted(reply: UpdateReply): void {
    const {targets} = this.parts;
    const known = new Set(reply.targets.map(({id}) => id));
    for (const {registration} of [...targets.all()]) {
      if (!known.has(registration.id)) targets.remove(registration.id);
    }
  }

  private serveUpdate(request: UpdateRequest, from: PeerIdentity): UpdateReply {
    const {clock, evacuations, freshness, network, refill, state, targets} =
      this.parts;
    const version = state.current?.deployment.version ?? -1;
    const isOutdated = this.isReader && request.version < version;
    const isSameReader = request.reader === network.self.incarnation;
    // Unless this host is the reader, its data may itself come from other
    // hosts.
    const unknownMs = Infinity;
    return {
      version,
      source: isOutdated
        ? this.sources.sourceFor(from, request.zone, version)
        : undefined,
      configAgeMs: this.isReader ? freshness.ageMs : unknownMs,
      targetsAgeMs: this.isReader
        ? clock.now() - this.parts.targetsReadMs()
        : unknownMs,
      revision: targets.revision,
      refill: refill.state,
      evacuations: evacuationSetOf(evacuations, clock.now()),
      targets: targets
        .changesSince(isSameReader ? request.revision : 0)
        .map(({id, registration: notice}) => ({
          id,
          notice: notice && toSummary(notice),
        })),
    };
  }
}

function toSummary(registration: RegistrationSummary): RegistrationSummary {
  const {id, startedMs, service, address, zone, slots, isLeaving} =
    registration;
  const {cold, hasEnded, softwareVersion} = registration;
  return {
    id,
    startedMs,
    service,
    address,
    zone,
    softwareVersion,
    slots,
    isLeaving,
    hasEnded,
    // The reply may take this long, which makes the report look newer.
    cold: cold && {...cold, ageMs: cold.ageMs + UPDATE_TIMEOUT_MS},
  };
}
