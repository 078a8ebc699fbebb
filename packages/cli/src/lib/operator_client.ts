/** Client of a host's operator API. @packageDocumentation */

import {
  HistoryEntry,
  HostStatus,
  HostVersion,
  KnownHost,
  Publication,
  RawObject,
  Verdict,
  withTimeout,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';

const TIMEOUT_MS = 20_000;

/** The error of a call that got no usable response. */
export interface ClientError {
  type: 'unreachable' | 'unauthorized' | 'unknown-outcome' | 'rejected';
  message: string;
}

/** The configuration in force on a host. */
export interface HostConfig {
  version: number;
  objects: RawObject[];
}

/** Calls the operator API of one host. */
export class OperatorClient {
  /**
   * Creates a client; it connects on the first call.
   *
   * @param url - base URL of the operator API.
   * @param token - the operators' token.
   */
  constructor(
    private readonly url: string,
    private readonly token: string,
  ) {}

  /** Returns the configuration in force on the host. */
  async config(): Promise<Result<HostConfig, ClientError>> {
    const answer = await this.call('GET', '/api/config');
    return answer.map(({body}) => body as HostConfig);
  }

  /** Returns the accepted versions in the host's history, oldest first. */
  async history(): Promise<Result<HistoryEntry[], ClientError>> {
    const answer = await this.call('GET', '/api/config/history');
    return answer.map(
      ({body}) => (body as {versions: HistoryEntry[]}).versions,
    );
  }

  /** Returns the hosts known to this host, including itself. */
  async hosts(): Promise<Result<KnownHost[], ClientError>> {
    const answer = await this.call('GET', '/api/hosts');
    return answer.map(({body}) => (body as {hosts: KnownHost[]}).hosts);
  }

  /** Requests a graceful shutdown of the host. */
  async drain(): Promise<Result<void, ClientError>> {
    const answer = await this.call('POST', '/api/drain');
    return answer.map(() => undefined);
  }

  /**
   * Creates a client of another host with the same token.
   *
   * @param url - base URL of that host's operator API.
   * @returns the client.
   */
  forHost(url: string): OperatorClient {
    return new OperatorClient(url, this.token);
  }

  /** Returns the status of the host. */
  async status(): Promise<Result<HostStatus, ClientError>> {
    const answer = await this.call('GET', '/api/status');
    return answer.map(({body}) => body as HostStatus);
  }

  /**
   * Publishes a delta.
   *
   * @param publication - the delta and its base version.
   * @param id - id under which the verdict can be read later; a publication is
   *     applied at most once per id.
   * @returns the verdict; after an error of type `unknown-outcome`, the
   *     publication may have been accepted or may still be accepted.
   */
  async publish(
    publication: Publication,
    id?: string,
  ): Promise<Result<Verdict, ClientError>> {
    const path = '/api/config/publications';
    const answer = await this.call('POST', path, {...publication, id});
    return answer.map(({body}) => body as Verdict);
  }

  /**
   * Reads the verdict of a publication.
   *
   * @param id - id of the publication.
   * @returns the verdict, or undefined if the host has not read the publication.
   */
  async verdictOf(
    id: string,
  ): Promise<Result<Verdict | undefined, ClientError>> {
    const path = `/api/config/publications/${encodeURIComponent(id)}`;
    const answer = await this.call('GET', path);
    return answer.map(({body}) => (body as {verdict?: Verdict}).verdict);
  }

  /** Returns the version in force on each known host. */
  async hostVersions(): Promise<Result<HostVersion[], ClientError>> {
    const answer = await this.call('GET', '/api/config/hosts');
    return answer.map(({body}) => (body as {hosts: HostVersion[]}).hosts);
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<Result<{status: number; body: unknown}, ClientError>> {
    try {
      const {status, content} = await withTimeout(
        TIMEOUT_MS,
        undefined,
        signal => this.fetch(method, path, body, signal),
      );
      if (status === 200 || status === 409) return ok({status, body: content});
      const message = content.message ?? `status ${status}`;
      if (status === 401) return err({type: 'unauthorized', message});
      if (status === 503) return err({type: 'unknown-outcome', message});
      return err({type: 'rejected', message});
    } catch (error) {
      const message = `${this.url}: ${(error as Error).message}`;
      const mayHaveEffect = method === 'POST' && !isConnectionRefused(error);
      const type = mayHaveEffect ? 'unknown-outcome' : 'unreachable';
      return err({type, message});
    }
  }

  private async fetch(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<{status: number; content: {message?: string}}> {
    const res = await request(this.url + path, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${this.token}`,
      },
      signal,
    });
    const content = (await res.body.json()) as {message?: string};
    return {status: res.statusCode, content};
  }
}

/** Returns whether the connection was refused, so that nothing was sent. */
function isConnectionRefused(error: unknown): boolean {
  return (error as {code?: string}).code === 'ECONNREFUSED';
}
