/** A model engine, as the system uses it. @packageDocumentation */

import {Result} from 'neverthrow';
import {z} from 'zod';
import {GenerationEvent, GenerationRequest} from '../requests/generation.js';

/** What went wrong at an engine. */
export const ENGINE_ERROR = {
  /** No byte of the request left this host. */
  notSent: 'not-sent',
  /** The engine said that it did not run the request. */
  refused: 'refused',
  /** The order carried an old fencing number and was not carried out. */
  fenced: 'fenced',
  /** The request may have run. */
  broken: 'broken',
} as const;

/** An error of an engine. */
export interface EngineError {
  type: (typeof ENGINE_ERROR)[keyof typeof ENGINE_ERROR];
  message: string;
  /** Whether no process listens, so that nothing is in its memory either. */
  processEnded?: boolean;
}

/** Options of {@link EngineClient.generate}. */
export interface GenerateOptions {
  /**
   * Whether to attach to a run that the engine already has. Such a call never
   * starts a run; without the run the engine refuses it.
   */
  resume: boolean;
  /** Offset of the first token wanted. */
  resumeFrom: number;
  /** Version to run on; any that is loaded if undefined. */
  version?: string;
  /** Value of the `traceparent` header. */
  traceparent: string;
  signal: AbortSignal;
}

/** What an order asks of an engine. */
export type Order =
  | {kind: 'noop'}
  | {kind: 'load'; model: string; version: string}
  | {kind: 'evict'; model: string; version: string}
  | {kind: 'load-adapter'; adapter: string; model: string}
  | {kind: 'evict-adapter'; adapter: string; model: string}
  | {kind: 'set-role'; role: string};

/** An order with its identity and authority. */
export interface FencedOrder {
  /** Carrying out an order twice by the same id has one effect. */
  id: string;
  /** Offset of the lease claim under which it is given. */
  fencing: number;
  order: Order;
}

const residentSchema = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number(),
  state: z.enum(['loading', 'ready', 'draining']),
  adapters: z.array(z.object({adapter: z.string(), bytes: z.number()})),
  /** Requests that run on this version. */
  running: z.number().int().default(0),
});

/** What an engine holds. */
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
  /** Versions whose checkpoint is in the memory of the engine's host. */
  inMemory: z.array(z.string()),
  residents: z.array(residentSchema),
});

/** See {@link inventorySchema}. */
export type Inventory = z.output<typeof inventorySchema>;

/** A load report; it lags. */
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

/** An event of the prefix cache. Events come late and with gaps. */
export const cacheEventSchema = z.object({
  sequence: z.number().int(),
  kind: z.enum(['stored', 'evicted']),
  /** Hash of the prefix. */
  prefix: z.string(),
});

/** See {@link cacheEventSchema}. */
export type CacheEvent = z.output<typeof cacheEventSchema>;

/** The client of one engine. */
export abstract class EngineClient {
  /**
   * Generates text.
   *
   * @param req - the request; never carries a caller's key.
   * @param options - see {@link GenerateOptions}.
   * @returns events in order; after an error no more follow. Without an error
   *     the last event is the end. Ending the iteration early closes the
   *     connection and leaves the run at the engine, to be resumed or cancelled.
   */
  abstract generate(
    req: GenerationRequest,
    options: GenerateOptions,
  ): AsyncGenerator<Result<GenerationEvent, EngineError>, void>;

  /**
   * Ends a run for good.
   *
   * @param requestId - id of the request.
   * @param signal - gives up waiting.
   * @returns how many tokens the engine generated for the request.
   */
  abstract cancel(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<number, EngineError>>;

  /**
   * Gives an order and waits until it is carried out.
   *
   * @param order - see {@link FencedOrder}.
   * @param signal - gives up waiting, which leaves the effect unknown.
   * @returns nothing, or the error; `broken` leaves the effect unknown.
   */
  abstract order(
    order: FencedOrder,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;

  /** @returns what the engine holds now. */
  abstract inventory(
    signal: AbortSignal,
  ): Promise<Result<Inventory, EngineError>>;

  /** @returns the engine's latest load report. */
  abstract report(
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EngineError>>;

  /**
   * @param after - sequence of the last event seen.
   * @returns later events that the engine still holds.
   */
  abstract cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<CacheEvent[], EngineError>>;

  /**
   * @param requestId - a running request.
   * @returns its KV cache, opaque.
   */
  abstract exportKv(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<string, EngineError>>;

  /**
   * @param requestId - the request that the cache belongs to.
   * @param kv - what another engine exported.
   */
  abstract importKv(
    requestId: string,
    kv: string,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>>;
}
