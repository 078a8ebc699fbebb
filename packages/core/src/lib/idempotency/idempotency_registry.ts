/** Claims idempotency keys through the log. @packageDocumentation */

import {createHash} from 'node:crypto';
import {DEFAULT_RETENTION_MS} from '../config/config_store.js';
import {PlatformLog, StoredRecord} from '../platform/platform_log.js';
import {RecordIdGenerator, StreamTail} from '../platform/stream_tail.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {ClaimEntry, ClaimTable} from './claim_table.js';
import {
  IdempotencyRecord,
  StoredAnswer,
  idempotencyRecordSchema,
} from './idempotency_records.js';

const SHARD_COUNT = 8;
const RESULT_TIMEOUT_MS = 5_000;
const MAX_UNKNOWN_CLAIMS = 10_000;

/** Largest response body that is stored for repeats, in bytes. */
export const MAX_STORED_BODY_BYTES = 64 * 1024;

/** Why a repeated request gets a conflict instead of a response. */
export type ConflictReason = 'in-progress' | 'other-content' | 'result-gone';

/** Result of {@link IdempotencyRegistry.claim}. */
export type ClaimResult =
  | {type: 'won'; claim: Claim}
  | {type: 'stored'; answer: StoredAnswer}
  | {type: 'conflict'; reason: ConflictReason}
  | {type: 'unavailable'; message: string};

/** The right to run a request once. Its holder must call one of the methods. */
export interface Claim {
  /**
   * Marks the request as run.
   *
   * @param answer - response to store for repeats; undefined to store
   *     none, such as if it is too large.
   */
  complete(answer: StoredAnswer | undefined): Promise<void>;
  /** Frees the key, as the request did not run and will not run. */
  abandon(): Promise<void>;
}

/** A request to claim an idempotency key. */
export interface ClaimRequest {
  team: string;
  /** Value of the caller's `Idempotency-Key` header. */
  idempotencyKey: string;
  /** Content of the request; a repeat must have the same content. */
  content: string;
  /** Longest time that the claim may take, in milliseconds. */
  timeoutMs: number;
}

/** Options of an {@link IdempotencyRegistry}. */
export interface IdempotencyRegistryOptions {
  log: PlatformLog;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  /** Retention of the log, in milliseconds; 24 h by default. */
  retentionMs?: number;
  /** Stops the tails of the streams. */
  signal: AbortSignal;
}

interface Shard {
  tail: StreamTail;
  table: ClaimTable;
  /**
   * Record ids of claims of this host whose append had no known result; their
   * requests were refused.
   */
  unknownClaims: Set<string>;
}

/**
 * Ensures that a request with an idempotency key runs at most once across all
 * hosts.
 *
 * The first claim of a key in the log wins. If the result of appending a claim
 * is unknown, the request is refused, and the claim is abandoned if it appears
 * in the log later.
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
    const contentDigest = digest([req.content]);
    const shard = this.shardOf(key);
    const existing = shard.table.get(key);
    if (existing !== undefined) return toClaimResult(existing, contentDigest);
    const body: IdempotencyRecord = {
      type: 'claim',
      key,
      content: contentDigest,
    };
    const {signal} = this.options;
    const appended = await shard.tail.appendAndReadBack(
      body,
      req.timeoutMs,
      signal,
    );
    if (appended.isErr()) {
      const {id, message} = appended.error;
      this.abandonWhenSeen(shard, id, key);
      return {type: 'unavailable', message};
    }
    const claim = appended.value.id;
    const entry = shard.table.get(key);
    if (entry?.claimId === claim) {
      return {type: 'won', claim: this.makeClaim(shard, claim, key)};
    }
    // The winning claim may already have been abandoned, which frees the key.
    if (entry === undefined) return {type: 'conflict', reason: 'in-progress'};
    return toClaimResult(entry, contentDigest);
  }

  private makeClaim(shard: Shard, claimId: string, key: string): Claim {
    return {
      complete: answer => {
        const storedAnswer = answer ?? null;
        return this.append(shard, {
          type: 'result',
          claim: claimId,
          key,
          answer: storedAnswer,
        });
      },
      abandon: () => this.append(shard, {type: 'abandon', claim: claimId, key}),
    };
  }

  private async append(shard: Shard, body: IdempotencyRecord): Promise<void> {
    const {signal, logger} = this.options;
    const appended = await shard.tail.appendAndReadBack(
      body,
      RESULT_TIMEOUT_MS,
      signal,
    );
    if (appended.isOk()) return;
    logger.warn('idempotency_append_unknown', {type: body.type});
  }

  private shardOf(key: string): Shard {
    const shardNumber = parseInt(key.slice(0, 8), 16) % SHARD_COUNT;
    const existing = this.shards.get(shardNumber);
    if (existing !== undefined) return existing;
    const {log, clock, logger, ids} = this.options;
    const tail = new StreamTail({
      log,
      clock,
      logger,
      ids,
      stream: `idempotency.${shardNumber}`,
      onRecord: record => this.applyRecord(shard, record),
    });
    const shard: Shard = {
      tail,
      table: new ClaimTable(),
      unknownClaims: new Set(),
    };
    this.shards.set(shardNumber, shard);
    void tail.run(this.options.signal);
    return shard;
  }

  private applyRecord(
    shard: Shard,
    {id, body, atMs, offset}: StoredRecord,
  ): void {
    const parsed = idempotencyRecordSchema.safeParse(body);
    if (!parsed.success) {
      this.options.logger.warn('idempotency_record_malformed', {offset});
      return;
    }
    // Uses the timestamp of the log, so that every reader removes a key at the
    // same offset.
    const {retentionMs = DEFAULT_RETENTION_MS} = this.options;
    shard.table.expire(atMs - retentionMs);
    shard.table.apply(id, parsed.data, atMs);
    if (shard.unknownClaims.has(id)) this.abandon(shard, id, parsed.data.key);
  }

  /** Abandons a claim with an unknown append result once the log shows it. */
  private abandonWhenSeen(shard: Shard, claimId: string, key: string): void {
    addUnknownClaim(shard, claimId);
    this.abandon(shard, claimId, key);
  }

  private abandon(shard: Shard, claim: string, key: string): void {
    if (shard.table.get(key)?.claimId !== claim) return;
    shard.unknownClaims.delete(claim);
    this.options.logger.info('idempotency_claim_abandoned');
    void this.append(shard, {type: 'abandon', claim, key});
  }
}

/**
 * Remembers a claim with an unknown append result. Beyond the limit the oldest
 * one is dropped; if that claim appears in the log after all, it blocks its key.
 */
function addUnknownClaim({unknownClaims}: Shard, claimId: string): void {
  unknownClaims.add(claimId);
  if (unknownClaims.size <= MAX_UNKNOWN_CLAIMS) return;
  const [oldest] = unknownClaims;
  unknownClaims.delete(oldest);
}

function toClaimResult(entry: ClaimEntry, contentDigest: string): ClaimResult {
  if (entry.contentDigest !== contentDigest) {
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
