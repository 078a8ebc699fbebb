/** Interface of the client of a model engine. @packageDocumentation */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {GenerationEvent, GenerationRequest} from '../requests/generation.js';

/** Types of engine errors. */
export const ENGINE_ERROR = {
  /** No byte of the request left this host. */
  notSent: 'not-sent',
  /** The engine reported that it did not run the request. */
  refused: 'refused',
  /** The order carried an outdated fencing number and was not executed. */
  fenced: 'fenced',
  /** The request may have run. */
  broken: 'broken',
} as const;

/** An error of an engine. */
export interface EngineError {
  type: (typeof ENGINE_ERROR)[keyof typeof ENGINE_ERROR];
  message: string;
  /**
   * Whether no process listens on the engine's address, in which case nothing
   * is loaded either.
   */
  processEnded?: boolean;
}

/** Options of {@link EngineClient.generate}. */
export interface GenerateOptions {
  /**
   * Whether to attach to an existing run of the engine. Such a call never
   * starts a run; the engine refuses it if the run does not exist.
   */
  resume: boolean;
  /** Offset of the first token to read. */
  resumeFrom: number;
  /** Model version to run on; undefined for any loaded version. */
  version?: string;
  /** Value of the `traceparent` header. */
  traceparent: string;
  signal: AbortSignal;
}

/** An operation that the system orders an engine to perform. */
export type Order =
  | {kind: 'noop'}
  | {kind: 'load'; model: string; version: string}
  | {kind: 'evict'; model: string; version: string}
  | {kind: 'load-adapter'; adapter: string; model: string}
  | {kind: 'evict-adapter'; adapter: string; model: string}
  | {kind: 'set-role'; role: string};

/** An order with its id and fencing number. */
export interface FencedOrder {
  /** Id of the order; an engine executes an order with a known id only once. */
  id: string;
  /** Fencing number: log offset of the lease claim under which it is sent. */
  fencing: number;
  order: Order;
}

const residentSchema = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number(),
  state: z.enum(['loading', 'ready', 'draining']),
  adapters: z.array(z.object({adapter: z.string(), bytes: z.number()})),
  /** Number of requests running on this version. */
  running: z.number().int().default(0),
});

/** Schema of an engine's inventory. */
export const inventorySchema = z.object({
  target: z.string(),
  memoryBytes: z.number(),
  usedBytes: z.number(),
  slots: z.number().int(),
  running: z.number().int(),
  highestFencing: z.number().int(),
  leaving: z.boolean(),
  role: z.string().default('any'),
  /** Versions whose checkpoint is on the engine's disk. */
  onDisk: z.array(z.string()),
  /** Versions whose checkpoint is in the main memory of the engine's host. */
  inMemory: z.array(z.string()),
  residents: z.array(residentSchema),
});

/** See {@link inventorySchema}. */
export type Inventory = z.output<typeof inventorySchema>;

/** Schema of a load report. Reports lag behind the actual load. */
export const loadReportSchema = z.object({
  running: z.number().int(),
  queued: z.number().int(),
  kvBytes: z.number(),
  leaving: z.boolean(),
  /** Age of the report in milliseconds. */
  ageMs: z.number(),
});

/** See {@link loadReportSchema}. */
export type LoadReport = z.output<typeof loadReportSchema>;

/** Schema of a prefix cache event. Events can arrive late and with gaps. */
export const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  /** Hash of the prefix. */
  prefix: z.string(),
});

/** See {@link cacheEventSchema}. */
export type CacheEvent = z.output<typeof cacheEventSchema>;

/** Client of one engine. */
export abstract class EngineClient {
  /**
   * Generates text.
   *
   * Ending the iteration early closes the connection but leaves the run on the
   * engine, where it can be resumed or cancelled.
   *
   * @param req - the request; it never carries a caller's key.
   * @param options - see {@link GenerateOptions}.
   * @returns the events in order. An error is the last element; without an
   *     error the last event is of type `end`.
   */
  abstract generate(
    req: GenerationRequest,
    options: GenerateOptions,
  ): AsyncGenerator<Result<GenerationEvent, EngineError>, void>;

  /**
   * Cancels a run; it cannot be resumed afterwards.
   *
   * @param requestId - id of the request.
   * @param signal - stops waiting.
   * @returns the number of tokens that the engine generated for the request.
   */
  abstract cancel(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<number, EngineError>>;

  /**
   * Sends an order and waits until the engine has executed it.
   *
   * @param order - see {@link FencedOrder}.
   * @param signal - stops waiting, which leaves the effect unknown.
   * @returns nothing, or the error. After a `broken` error the effect is
   *     unknown.
   */
  abstract order(
    order: FencedOrder,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;

  /** Returns the current inventory of the engine. */
  abstract inventory(
    signal: AbortSignal,
  ): Promise<Result<Inventory, EngineError>>;

  /** Returns the latest load report of the engine. */
  abstract report(
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EngineError>>;

  /**
   * Returns recent events of the prefix cache.
   *
   * @param after - sequence number of the last event seen.
   * @returns the later events that the engine still holds.
   */
  abstract cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<CacheEvent[], EngineError>>;

  /**
   * Exports the KV cache of a request.
   *
   * @param requestId - id of a running request.
   * @returns the KV cache in an opaque encoding.
   */
  abstract exportKv(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<string, EngineError>>;

  /**
   * Imports the KV cache of a request.
   *
   * @param requestId - id of the request that the cache belongs to.
   * @param kv - KV cache as exported by another engine.
   */
  abstract importKv(
    requestId: string,
    kv: string,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;
}
