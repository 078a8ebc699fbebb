/** Updates of configuration and targets that one host distributes to the others. @packageDocumentation */

import {z} from 'zod';
import {PeerIdentity, PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {DeploymentState} from './deployment_state.js';
import {ConfigSources} from './config_sources.js';
import {BriefNotice} from './discovered_target.js';
import {Freshness} from './freshness.js';
import {KnownTarget, TargetTable} from './target_table.js';

/**
 * Time between requests to the reader, as a fraction of the lifetime of a
 * reply.
 */
const ASK_INTERVAL_PART = 0.45;

/** Time limit for a reply of the reader. */
const ASK_LIMIT_MS = 500;

/**
 * By how much a reply may seem older than the data already known, because
 * requests differ in their network latency.
 */
const AS_OF_TOLERANCE_MS = 100;

/**
 * Time limit to fetch a configuration from another host that has it or is about
 * to have it. After it the store is read, well within the time in which the
 * withdrawal of an API key must take effect.
 */
const TEXT_LIMIT_MS = 400;

/** Time between checks whether that configuration is in force here. */
const TEXT_POLL_MS = 20;

/**
 * Maximum size of a configuration sent by a host; the store has more bandwidth.
 */
const MAX_TEXT_BYTES = 128 * 1_024;

/** Time between checks whether there is a reader. */
const IDLE_MS = 100;

/**
 * The part of a registration that hosts need; only the reader needs the models.
 */
const noticeSchema = z.object({
  id: z.string(),
  startedMs: z.number(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  isLeaving: z.boolean(),
});

/** Age in milliseconds; infinite if nothing was read yet. */
const age = z.union([z.number(), z.literal(Infinity)]);

/** Version of a configuration; -Infinity if none is in force yet. */
const versionSchema = z.union([z.number(), z.literal(-Infinity)]);

const askSchema = z.object({
  /** Incarnation of the reader that sent the last reply. */
  reader: z.string(),
  /** Revision of the reader's targets in the last reply. */
  revision: z.number(),
  /** Version of the configuration in force on the requesting host. */
  version: versionSchema,
  /** Availability zone of the requesting host. */
  zone: z.string(),
});

const newsSchema = z.object({
  /** Version of the configuration in force on the reader. */
  version: z.number(),
  /** Time since the store last confirmed that version. */
  configAgeMs: age,
  /** Time since the targets were read from the store. */
  targetsAgeMs: age,
  revision: z.number(),
  targets: z.array(z.object({id: z.string(), notice: noticeSchema.optional()})),
  /**
   * Name of the host to fetch that version from, if the requesting host lacks
   * it and need not read the store.
   */
  source: z.string().optional(),
});

/** Request of a host to the reader. */
export type NewsQuestion = z.output<typeof askSchema>;

/** Reply of the reader. */
export type News = z.output<typeof newsSchema>;

const ASK_NEWS: PeerMethod<NewsQuestion, News> = {
  name: 'news-ask',
  body: askSchema,
  event: newsSchema,
};

/** Fetches a configuration, in the encoding of the store, from another host. */
const ASK_CONFIG: PeerMethod<{version: number}, {text?: Uint8Array}> = {
  name: 'config-ask',
  body: z.object({version: z.number()}),
  event: z.object({text: z.instanceof(Uint8Array).optional()}),
};

/** Reports that a target is leaving, which the reader may not know yet. */
const TARGET_LEAVES: PeerMethod<{target: string; startedMs: number}, never> = {
  name: 'target-leaves',
  body: z.object({target: z.string(), startedMs: z.number()}),
  event: z.never(),
};

/** Notifies hosts that the reader has updates. */
const NEWS_HINT: PeerMethod<{revision: number}, never> = {
  name: 'news-hint',
  body: z.object({revision: z.number()}),
  event: z.never(),
};

/** The host that reads the store for the others. */
export interface NewsReader {
  host: string;
  incarnation: string;
}

/** A configuration in the encoding of the store. */
export interface ConfigText {
  version: number;
  bytes: Uint8Array;
}

/** Dependencies of a {@link PeerNews}. */
export interface PeerNewsParts {
  clock: Clock;
  network: PeerNetwork;
  /** Availability zone of this host. */
  zone: string;
  state: DeploymentState;
  freshness: Freshness;
  targets: TargetTable;
  /**
   * Age up to which data of the store need not be read again, counted from the
   * reader's own read.
   */
  lifeMs: number;
  /** Clock time of this host's last read of the targets. */
  targetsReadMs: () => number;
  /**
   * The reader, while its messages arrive; this host itself if it is the
   * reader.
   */
  reader: () => NewsReader | undefined;
  /** The configuration in force; undefined if there is none yet. */
  ownText: () => ConfigText | undefined;
  /** Applies a configuration that another host has read. */
  takeText: (bytes: Uint8Array) => void;
}

/**
 * Saves calls to the store: one host, the reader, reads it, and the others poll
 * the reader. The data of a reply is dated to the time of the request minus the
 * age that the reader states, so that a slow link never makes data look newer
 * than it is.
 */
export class PeerNews {
  /** Clock times at which the store had returned the data of the last reply. */
  private configMs = -Infinity;
  private targetsMs = -Infinity;
  private asked = {reader: '', revision: 0};
  private readerVersion = -Infinity;
  private sentRevision = 0;
  private sentVersion = -Infinity;
  private wake = new AbortController();
  private readonly sources: ConfigSources;
  /** Start times of leaving processes that are not reported yet, by target. */
  private readonly untold = new Map<string, number>();
  /** Whether a configuration is being fetched from another host. */
  private isTaking = false;

  /** @param parts - the dependencies, see {@link PeerNewsParts}. */
  constructor(private readonly parts: PeerNewsParts) {
    const {network, targets} = parts;
    this.sources = new ConfigSources(network.self, parts.zone);
    network.serveUnary(ASK_NEWS, (question, {from}) =>
      this.answer(question, from),
    );
    network.serveUnary(ASK_CONFIG, ({version}, {signal}) =>
      this.passOn(version, signal),
    );
    network.onNote(NEWS_HINT, () => this.wake.abort());
    network.onNote(TARGET_LEAVES, ({target, startedMs}) =>
      targets.noteLeaving(target, startedMs),
    );
    targets.onLeaving(target => this.tellLeaving(target));
  }

  /** Reports that a target is leaving, so that all hosts are notified. */
  private tellLeaving({notice}: KnownTarget): void {
    this.untold.set(notice.id, notice.startedMs);
    this.tellUntold();
  }

  /**
   * Reports leaving targets to the reader, or to all hosts if this is the
   * reader. Keeps them for later while there is no reader.
   */
  private tellUntold(): void {
    const {network, reader} = this.parts;
    const to = reader();
    if (to === undefined || this.untold.size === 0) return;
    if (this.isReader) {
      this.untold.clear();
      this.hint();
      return;
    }
    for (const [target, startedMs] of this.untold) {
      const body = {target, startedMs};
      const isTold = network.notify(to.host, TARGET_LEAVES, body);
      if (isTold) this.untold.delete(target);
    }
  }

  /** Whether this host is the reader. */
  private get isReader(): boolean {
    const {network, reader} = this.parts;
    return reader()?.incarnation === network.self.incarnation;
  }

  /** Whether the targets are fresh enough that the store need not be read. */
  get coversTargets(): boolean {
    return !this.isReader && this.isYoung(this.targetsMs);
  }

  /**
   * Whether the configuration is fresh enough that the store need not be read.
   */
  get coversConfig(): boolean {
    if (this.isReader || !this.isYoung(this.configMs)) return false;
    return this.isTaking || this.readerVersion === this.ownVersion;
  }

  private get ownVersion(): number {
    return this.parts.state.current?.deployment.version ?? -Infinity;
  }

  private isYoung(sinceMs: number): boolean {
    return this.parts.clock.now() - sinceMs < this.parts.lifeMs;
  }

  /** Notifies the other hosts of updates, if this host is the reader. */
  hint(): void {
    const {network, state, targets} = this.parts;
    const version = state.current?.deployment.version ?? 0;
    const {revision} = targets;
    const isNew =
      revision !== this.sentRevision || version !== this.sentVersion;
    if (!isNew || !this.isReader) return;
    this.sentRevision = revision;
    this.sentVersion = version;
    network.broadcast(NEWS_HINT, {revision});
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
      this.tellUntold();
      if (from === undefined || this.isReader) {
        await clock.sleep(IDLE_MS, signal);
        continue;
      }
      await this.ask(from, signal);
      if (this.wake.signal.aborted) this.wake = new AbortController();
      const intervalMs = this.parts.lifeMs * ASK_INTERVAL_PART;
      await clock.sleep(intervalMs, this.wake.signal);
    }
  }

  private async ask(from: NewsReader, signal: AbortSignal): Promise<void> {
    const {clock, freshness, network, zone} = this.parts;
    if (this.asked.reader !== from.incarnation) {
      this.asked = {reader: from.incarnation, revision: 0};
    }
    const askedMs = clock.now();
    const question = {...this.asked, version: this.ownVersion, zone};
    const news = await network.call(from.host, ASK_NEWS, question, {
      timeoutMs: ASK_LIMIT_MS,
      signal,
    });
    if (news.isErr()) return;
    const {configAgeMs, source, targetsAgeMs, revision, version} = news.value;
    this.readerVersion = version;
    this.configMs = askedMs - configAgeMs;
    const targetsMs = askedMs - targetsAgeMs;
    const knownMs = Math.max(this.targetsMs, this.parts.targetsReadMs());
    // An older reply must not add a removed target again.
    if (targetsMs >= knownMs - AS_OF_TOLERANCE_MS) {
      this.takeTargets(news.value);
      this.asked = {reader: from.incarnation, revision};
      this.targetsMs = targetsMs;
    }
    if (source !== undefined) await this.takeConfig(source, version, signal);
    // The configuration in force here is as fresh as the reader's own.
    if (this.coversConfig) freshness.confirm(this.configMs);
  }

  private async takeConfig(
    source: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {network, takeText} = this.parts;
    this.isTaking = true;
    const answer = await network.call(
      source,
      ASK_CONFIG,
      {version},
      {timeoutMs: TEXT_LIMIT_MS, signal},
    );
    const text = answer.isOk() ? answer.value.text : undefined;
    if (text !== undefined) takeText(text);
    this.isTaking = false;
  }

  /**
   * Returns a configuration once it is in force here, or nothing on timeout.
   */
  private async passOn(
    version: number,
    signal: AbortSignal,
  ): Promise<{text?: Uint8Array}> {
    const {clock, ownText} = this.parts;
    const endMs = clock.now() + TEXT_LIMIT_MS;
    while (this.ownVersion < version && clock.now() < endMs) {
      if (signal.aborted) return {};
      await clock.sleep(TEXT_POLL_MS, signal);
    }
    const own = ownText();
    if (own === undefined || own.version < version) return {};
    return own.bytes.length > MAX_TEXT_BYTES ? {} : {text: own.bytes};
  }

  private takeTargets(news: News): void {
    const {targets} = this.parts;
    for (const {id, notice} of news.targets) {
      if (notice === undefined) targets.remove(id);
      else targets.putBrief(notice);
    }
    if (this.asked.revision === 0) this.removeUnknown(news);
  }

  /** Removes the targets that are missing in a first reply, which lists all. */
  private removeUnknown(news: News): void {
    const {targets} = this.parts;
    const known = new Set(news.targets.map(({id}) => id));
    for (const {notice} of [...targets.all()]) {
      if (!known.has(notice.id)) targets.remove(notice.id);
    }
  }

  private answer(question: NewsQuestion, from: PeerIdentity): News {
    const {clock, freshness, network, state, targets} = this.parts;
    const version = state.current?.deployment.version ?? -1;
    const lacksIt = this.isReader && question.version < version;
    const isSame = question.reader === network.self.incarnation;
    // Unless this host is the reader, its data may itself come from other
    // hosts.
    const unknownMs = Infinity;
    return {
      version,
      source: lacksIt
        ? this.sources.sourceFor(from, question.zone, version)
        : undefined,
      configAgeMs: this.isReader ? freshness.ageMs : unknownMs,
      targetsAgeMs: this.isReader
        ? clock.now() - this.parts.targetsReadMs()
        : unknownMs,
      revision: targets.revision,
      targets: targets
        .changedSince(isSame ? question.revision : 0)
        .map(({id, notice}) => ({id, notice: notice && toBrief(notice)})),
    };
  }
}

function toBrief(notice: BriefNotice): BriefNotice {
  const {id, startedMs, service, address, zone, slots, isLeaving} = notice;
  return {id, startedMs, service, address, zone, slots, isLeaving};
}
