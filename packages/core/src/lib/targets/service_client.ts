/** Interface of the client of a plain service. @packageDocumentation */

import {Readable} from 'node:stream';
import {Result} from 'neverthrow';

/** A call sent to a service. */
export interface ServiceCall {
  method: string;
  /** Path and query, relative to the service's base URL. */
  path: string;
  /** Headers, without the caller's key. */
  headers: Record<string, string>;
  body: Buffer;
}

/** The response of a service. */
export interface ServiceAnswer {
  status: number;
  headers: Record<string, string>;
  body: Readable;
}

/** The error of a call that got no response. */
export interface ServiceError {
  /** Whether a byte of the call may have left this host. */
  mayHaveBeenSent: boolean;
  message: string;
}

/** Client of one plain service. It never repeats a call. */
export abstract class ServiceClient {
  /**
   * Sends a call.
   *
   * @param call - see {@link ServiceCall}.
   * @param signal - aborts the call.
   * @returns the status and headers of the response, and its body as a stream.
   */
  abstract call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceError>>;
}
