/** Claims idempotency keys through the log. @packageDocumentation */

import {createHash} from 'node:crypto';
import {DEFAULT_RETENTION_MS} from '../config/config_store.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {RecordIds, StreamTail} from '../platform/stream_tail.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {ClaimEntry, ClaimTable} from './claim_table.js';
import {
  IdempotencyRecord,
  StoredAnswer,
  idempotencyRecordSchema,
} from './idempotency_records.js';

const SHARDS = 8;
const RESULT_BOUND_MS = 5_000;
const MAX_UNKNOWN_CLAIMS = 10_000;

/** Largest body of an answer that is kept for repeats, in bytes. */
export const MAX_STORED_BODY_BYTES = 64 * 1024;

/** Why a repeat gets a conflict instead of an answer. */
export type ConflictReason = 'in-progress' | 'other-content' | 'result-gone';

/** What became of a claim. */
export type ClaimResult =
  | {type: 'won'; claim: Claim}
  | {type: 'stored'; answer: StoredAnswer}
  | {type: 'conflict'; reason: ConflictReason}
  | {type: 'unavailable'; message: string};

/** The right to run a request once. One of the two methods must be called. */
export interface Claim {
  /** The request ran; `answer` is kept for repeats unless it is too large. */
  complete(answer: StoredAnswer | undefined): Promise<void>;
  /** The request did not run and will not; the key is free again. */
  abandon(): Promise<void>;
}

/** Who asks for what under which key. */
export interface ClaimRequest {
  team: string;
  /** The caller's `Idempotency-Key`. */
  idempotencyKey: string;
  /** Everything that makes up the request. */
  content: string;
  /** How long the claim may take, in milliseconds. */
  boundMs: number;
}

/** What an {@link IdempotencyRegistry} works with. */
export interface IdempotencyRegistryOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIds;
  /** How long the log keeps records, in milliseconds; 24 h by default. */
  retentionMs?: number;
  /** Ends the tails of the streams. */
  signal: AbortSignal;
}

interface Shard {
  tail: StreamTail;
  table: ClaimTable;
  /** Claims of this host whose requests were refused. */
  unknown: Set<string>;
}

/**
 * Lets each request under an idempotency key run at most once over all hosts.
 *
 * The first claim in the log wins. A claim whose fate was unknown when its
 * request was refused is abandoned if it shows up later, and never runs.
 */
export class IdempotencyRegistry {
  private readonly shards = new Map<number, Shard>();

  constructor(private readonly options: IdempotencyRegistryOptions) {}

  /**
   * Claims a key.
   *
   * @param req - see {@link ClaimRequest}.
   */
  async claim(req: ClaimRequest): Promise<ClaimResult> {
    const key = digest([req.team, req.idempotencyKey]);
    const content = digest([req.content]);
    const shard = this.shardOf(key);
    const known = shard.table.get(key);
    if (known !== undefined) return resultFor(known, content);
    const body: IdempotencyRecord = {type: 'claim', key, content};
    const {signal} = this.options;
    const seen = await shard.tail.appendAndSee(body, req.boundMs, signal);
    if (seen.isErr()) {
      const {id, message} = seen.error;
      this.abandonLater(shard, id, key);
      return {type: 'unavailable', message};
    }
    const claim = seen.value.id;
    const entry = shard.table.get(key);
    if (entry?.claim === claim) {
      return {type: 'won', claim: this.makeClaim(shard, claim, key)};
    }
    // An abandoned winner may already have freed the key again.
    if (entry === undefined) return {type: 'conflict', reason: 'in-progress'};
    return resultFor(entry, content);
  }

  private makeClaim(shard: Shard, claim: string, key: string): Claim {
    return {
      complete: answer => {
        const kept = answer ?? null;
        return this.append(shard, {type: 'result', claim, key, answer: kept});
      },
      abandon: () => this.append(shard, {type: 'abandon', claim, key}),
    };
  }

  private async append(shard: Shard, body: IdempotencyRecord): Promise<void> {
    const {signal, logger} = this.options;
    const done = await shard.tail.appendAndSee(body, RESULT_BOUND_MS, signal);
    if (done.isOk()) return;
    logger.warn('idempotency_append_unknown', {type: body.type});
  }

  private shardOf(key: string): Shard {
    const number = parseInt(key.slice(0, 8), 16) % SHARDS;
    const known = this.shards.get(number);
    if (known !== undefined) return known;
    const {log, clock, logger, ids} = this.options;
    const tail = new StreamTail({
      log,
      clock,
      logger,
      ids,
      stream: `idempotency.${number}`,
      onRecord: record => this.take(shard, record),
    });
    const shard: Shard = {tail, table: new ClaimTable(), unknown: new Set()};
    this.shards.set(number, shard);
    void tail.run(this.options.signal);
    return shard;
  }

  private take(shard: Shard, {id, body, atMs, offset}: StoredRecord): void {
    const parsed = idempotencyRecordSchema.safeParse(body);
    if (!parsed.success) {
      this.options.logger.warn('idempotency_record_malformed', {offset});
      return;
    }
    // By the log's time, so that every reader forgets a key at one offset.
    const {retentionMs = DEFAULT_RETENTION_MS} = this.options;
    shard.table.expire(atMs - retentionMs);
    shard.table.apply(id, parsed.data, atMs);
    if (shard.unknown.has(id)) this.abandon(shard, id, parsed.data.key);
  }

  /** Abandons a claim of unknown fate, now or as soon as it shows up. */
  private abandonLater(shard: Shard, claim: string, key: string): void {
    rememberUnknown(shard, claim);
    this.abandon(shard, claim, key);
  }

  private abandon(shard: Shard, claim: string, key: string): void {
    if (shard.table.get(key)?.claim !== claim) return;
    shard.unknown.delete(claim);
    this.options.logger.info('idempotency_claim_abandoned');
    void this.append(shard, {type: 'abandon', claim, key});
  }
}

/** A claim that is forgotten here blocks its key if it shows up after all. */
function rememberUnknown({unknown}: Shard, claim: string): void {
  unknown.add(claim);
  if (unknown.size <= MAX_UNKNOWN_CLAIMS) return;
  const [oldest] = unknown;
  unknown.delete(oldest);
}

function resultFor(entry: ClaimEntry, content: string): ClaimResult {
  if (entry.content !== content) {
    return {type: 'conflict', reason: 'other-content'};
  }
  if (entry.state === 'in-progress') {
    return {type: 'conflict', reason: 'in-progress'};
  }
  if (entry.answer === undefined) {
    return {type: 'conflict', reason: 'result-gone'};
  }
  return {type: 'stored', answer: entry.answer};
}

function digest(parts: readonly string[]): string {
  const text = JSON.stringify(parts);
  return createHash('sha256').update(text).digest('hex');
}
