/** The client of a host's operator API. @packageDocumentation */

import {
  HistoryEntry,
  Publication,
  RawObject,
  Verdict,
  withTimeLimit,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';

const TIMEOUT_MS = 20_000;

/** The host gave no usable answer. */
export interface ClientError {
  type: 'unreachable' | 'unauthorized' | 'unknown-outcome' | 'rejected';
  message: string;
}

/** The configuration as a host holds it. */
export interface HeldConfig {
  version: number;
  objects: RawObject[];
}

/** What a host tells of itself. */
export interface StatusAnswer {
  host: string;
  zone: string;
  ready: boolean;
  configVersion: number;
  configAgeS: number | null;
  leaseHolder: string | null;
  peers: string[];
  remoteHosts: string[];
  queued: number;
}

/** A host that another one knows. */
export interface KnownHost {
  host: string;
  zone: string;
  /** Base URL of its operator API. */
  url: string;
}

/** Calls the operator API of one host. */
export class OperatorClient {
  /**
   * @param url - base URL of the operator API.
   * @param token - the operators' token.
   */
  constructor(
    private readonly url: string,
    private readonly token: string,
  ) {}

  /** @returns the configuration in force at the host. */
  async config(): Promise<Result<HeldConfig, ClientError>> {
    const answer = await this.call('GET', '/api/config');
    return answer.map(({body}) => body as HeldConfig);
  }

  /** @returns accepted versions that the host still knows, oldest first. */
  async history(): Promise<Result<HistoryEntry[], ClientError>> {
    const answer = await this.call('GET', '/api/config/history');
    return answer.map(
      ({body}) => (body as {versions: HistoryEntry[]}).versions,
    );
  }

  /** @returns the hosts that this one knows, itself included. */
  async hosts(): Promise<Result<KnownHost[], ClientError>> {
    const answer = await this.call('GET', '/api/hosts');
    return answer.map(({body}) => (body as {hosts: KnownHost[]}).hosts);
  }

  /** Asks the host to stop gracefully. */
  async drain(): Promise<Result<void, ClientError>> {
    const answer = await this.call('POST', '/api/drain');
    return answer.map(() => undefined);
  }

  /**
   * @param url - base URL of another host's operator API.
   * @returns a client of that host with the same token.
   */
  at(url: string): OperatorClient {
    return new OperatorClient(url, this.token);
  }

  /** @returns what the host tells of itself. */
  async status(): Promise<Result<StatusAnswer, ClientError>> {
    const answer = await this.call('GET', '/api/status');
    return answer.map(({body}) => body as StatusAnswer);
  }

  /**
   * Publishes a delta.
   *
   * @returns the verdict; an error of type `unknown-outcome` carries the id
   *     under which to ask later.
   */
  async publish(
    publication: Publication,
  ): Promise<Result<Verdict, ClientError>> {
    const path = '/api/config/publications';
    const answer = await this.call('POST', path, publication);
    return answer.map(({body}) => body as Verdict);
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: object,
  ): Promise<Result<{status: number; body: unknown}, ClientError>> {
    try {
      const {status, content} = await withTimeLimit(
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
      return err({type: 'unreachable', message});
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
