/** News of the platform that hosts take from one of them. @packageDocumentation */

import {z} from 'zod';
import {PeerIdentity, PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {DeploymentState} from './deployment_state.js';
import {ConfigSources} from './config_sources.js';
import {BriefNotice} from './discovered_target.js';
import {Freshness} from './freshness.js';
import {KnownTarget, TargetTable} from './target_table.js';

/** Time between questions, as a part of the life of an answer. */
const ASK_INTERVAL_PART = 0.45;

/** Longest wait for an answer. */
const ASK_LIMIT_MS = 500;

/**
 * By how much an answer may seem older than what is known, as the way of one
 * question took longer than that of another.
 */
const AS_OF_TOLERANCE_MS = 100;

/**
 * Longest wait for a configuration that another host has or is about to have;
 * the store is read after it, well within the time for a withdrawn key.
 */
const TEXT_LIMIT_MS = 400;

/** Pause between looks at whether it has come. */
const TEXT_POLL_MS = 20;

/** Longest configuration that hosts pass on; the store has the wider link. */
const MAX_TEXT_BYTES = 128 * 1_024;

/** Pause between looks at whether there is a reader to ask. */
const IDLE_MS = 100;

/** What hosts have to know of a target; only the reader knows its models. */
const noticeSchema = z.object({
  id: z.string(),
  startedMs: z.number(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  isLeaving: z.boolean(),
});

/** Milliseconds; infinite if nothing was read. */
const age = z.union([z.number(), z.literal(Infinity)]);

/** Version of a configuration; nothing is in force before the first. */
const versionSchema = z.union([z.number(), z.literal(-Infinity)]);

const askSchema = z.object({
  /** Incarnation of the reader at the last answer. */
  reader: z.string(),
  /** Revision of the reader's targets at the last answer. */
  revision: z.number(),
  /** Version of the configuration in force at the host that asks. */
  version: versionSchema,
  /** Availability zone of that host. */
  zone: z.string(),
});

const newsSchema = z.object({
  /** Version of the configuration in force at the reader. */
  version: z.number(),
  /** Time since the store confirmed that version. */
  configAgeMs: age,
  /** Time since the targets were read. */
  targetsAgeMs: age,
  revision: z.number(),
  targets: z.array(z.object({id: z.string(), notice: noticeSchema.optional()})),
  /** Who passes on that version, if the host that asks lacks it. */
  source: z.string().optional(),
});

/** What a host asks the reader. */
export type NewsQuestion = z.output<typeof askSchema>;

/** What the reader answers. */
export type News = z.output<typeof newsSchema>;

const ASK_NEWS: PeerMethod<NewsQuestion, News> = {
  name: 'news-ask',
  body: askSchema,
  event: newsSchema,
};

/** A host asks for a configuration, as it stands in the store. */
const ASK_CONFIG: PeerMethod<{version: number}, {text?: Uint8Array}> = {
  name: 'config-ask',
  body: z.object({version: z.number()}),
  event: z.object({text: z.instanceof(Uint8Array).optional()}),
};

/** A target has told a host that it leaves, which the reader may not know. */
const TARGET_LEAVES: PeerMethod<{target: string; startedMs: number}, never> = {
  name: 'target-leaves',
  body: z.object({target: z.string(), startedMs: z.number()}),
  event: z.never(),
};

const NEWS_HINT: PeerMethod<{revision: number}, never> = {
  name: 'news-hint',
  body: z.object({revision: z.number()}),
  event: z.never(),
};

/** Who reads the store for the others. */
export interface NewsReader {
  host: string;
  incarnation: string;
}

/** A configuration as it stands in the store. */
export interface ConfigText {
  version: number;
  bytes: Uint8Array;
}

/** What a {@link PeerNews} works with. */
export interface PeerNewsParts {
  clock: Clock;
  network: PeerNetwork;
  /** Availability zone of this host. */
  zone: string;
  state: DeploymentState;
  freshness: Freshness;
  targets: TargetTable;
  /**
   * Age up to which what the store said need not be read again; the age counts
   * from the reader's own read.
   */
  lifeMs: number;
  /** Clock time of this host's last read of the targets. */
  targetsReadMs: () => number;
  /** The reader, while it is heard; this host itself if it is the reader. */
  reader: () => NewsReader | undefined;
  /** The configuration in force; undefined before one is. */
  ownText: () => ConfigText | undefined;
  /** Takes in a configuration that another host has read. */
  takeText: (bytes: Uint8Array) => void;
}

/**
 * Saves calls to the store: one host reads it, and the others ask that host.
 * An answer counts from before it was asked for, less the age that the reader
 * gives, so that a slow link makes nothing look younger than it is.
 */
export class PeerNews {
  /** Clock times by which the store had said what this host was told. */
  private configMs = -Infinity;
  private targetsMs = -Infinity;
  private asked = {reader: '', revision: 0};
  private readerVersion = -Infinity;
  private sentRevision = 0;
  private sentVersion = -Infinity;
  private wake = new AbortController();
  private readonly sources: ConfigSources;
  /** Starts of processes that said they leave, by target, not passed on yet. */
  private readonly untold = new Map<string, number>();
  /** Whether another host is asked for a configuration. */
  private isTaking = false;

  /** @param parts - see {@link PeerNewsParts}. */
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

  /** Passes on that a target leaves, so that all hosts hear of it. */
  private tellLeaving({notice}: KnownTarget): void {
    this.untold.set(notice.id, notice.startedMs);
    this.tellUntold();
  }

  /** Tells the reader, or as the reader all others; later if none is heard. */
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

  /** Whether the store need not be read for the targets. */
  get coversTargets(): boolean {
    return !this.isReader && this.isYoung(this.targetsMs);
  }

  /** Whether the store need not be read for the configuration. */
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

  /** As the reader, tells the others that there is something to ask for. */
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
   * Asks the reader until the signal aborts.
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
    // A target that is gone must not come back by an older word.
    if (targetsMs >= knownMs - AS_OF_TOLERANCE_MS) {
      this.takeTargets(news.value);
      this.asked = {reader: from.incarnation, revision};
      this.targetsMs = targetsMs;
    }
    if (source !== undefined) await this.takeConfig(source, version, signal);
    // What is in force here is as fresh as the reader says of its own.
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

  /** Gives the configuration once it is in force here. */
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

  /** A first answer names every target that there is. */
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
    // A host that is no reader may itself have been told by others.
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
