/** Chooses the model version that a request runs on. @packageDocumentation */

import {Result} from 'neverthrow';
import {GenerationEvent, GenerationRequest} from '../requests/generation.js';
import {
  CacheEvent,
  EngineClient,
  EngineError,
  FencedOrder,
  GenerateOptions,
  Inventory,
  LoadReport,
} from './engine_client.js';

/**
 * Wraps the client of an engine that may hold two versions of a model during a
 * version change, and starts new runs on the version that the zone's view
 * serves.
 */
export class VersionedEngine extends EngineClient {
  /**
   * @param engine - the client of the engine.
   * @param versionOf - returns the version of a model to run on.
   */
  constructor(
    private readonly engine: EngineClient,
    private readonly versionOf: (model: string) => string | undefined,
  ) {
    super();
  }

  override generate(
    req: GenerationRequest,
    options: GenerateOptions,
  ): AsyncGenerator<Result<GenerationEvent, EngineError>, void> {
    // A resumed run stays on the version that it started on.
    const version = options.resume ? undefined : this.versionOf(req.model);
    return this.engine.generate(req, {...options, version});
  }

  override cancel(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<number, EngineError>> {
    return this.engine.cancel(requestId, signal);
  }

  override order(
    order: FencedOrder,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>> {
    return this.engine.order(order, signal);
  }

  override inventory(
    signal: AbortSignal,
  ): Promise<Result<Inventory, EngineError>> {
    return this.engine.inventory(signal);
  }

  override report(
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EngineError>> {
    return this.engine.report(signal);
  }

  override cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<CacheEvent[], EngineError>> {
    return this.engine.cacheEvents(after, signal);
  }

  override exportKv(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<string, EngineError>> {
    return this.engine.exportKv(requestId, signal);
  }

  override importKv(
    requestId: string,
    kv: string,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>> {
    return this.engine.importKv(requestId, kv, signal);
  }
}
