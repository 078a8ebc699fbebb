/** A plain service, as the system uses it. @packageDocumentation */

import {Readable} from 'node:stream';
import {Result} from 'neverthrow';

/** A call that is passed on to a service. */
export interface ServiceCall {
  method: string;
  /** Path and query below the service's base URL. */
  path: string;
  /** Headers without the caller's key. */
  headers: Record<string, string>;
  body: Buffer;
}

/** The answer of a service. */
export interface ServiceAnswer {
  status: number;
  headers: Record<string, string>;
  body: Readable;
}

/** A call that got no answer. */
export interface ServiceError {
  /** Whether a byte of the call may have left this host. */
  maySent: boolean;
  message: string;
}

/** The client of one plain service. It never repeats a call. */
export abstract class ServiceClient {
  /**
   * @param call - what to send.
   * @param signal - gives up.
   * @returns the answer's head and its body as a stream.
   */
  abstract call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceError>>;
}
