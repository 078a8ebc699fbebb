/** Client of the platform's host list. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {withTimeout} from '../time/timeout.js';

const TIMEOUT_MS = 2_000;
const STATUS_NOT_MODIFIED = 304;

const hostListSchema = z.object({
  hosts: z.array(
    z.object({
      name: z.string(),
      zone: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** An entry of the host list: an entry host or a host of a target. */
export type ListedHost = z.output<typeof hostListSchema>['hosts'][number];

/** The platform's list of live and leaving hosts, which may be out of date. */
export abstract class HostList {
  /**
   * Fetches the list.
   *
   * @param signal - cancels the request.
   * @returns the hosts as of a recent point in time, or an error message.
   */
  abstract fetch(signal: AbortSignal): Promise<Result<ListedHost[], string>>;
}

/**
 * A {@link HostList} over HTTP. Sends the entity tag of the last list in
 * `if-none-match`, so that the service does not resend an unchanged list.
 */
export class HttpHostList extends HostList {
  private cached: {tag: string; hosts: ListedHost[]} | undefined;

  /** @param url - base URL of the service. */
  constructor(private readonly url: string) {
    super();
  }

  override async fetch(
    signal: AbortSignal,
  ): Promise<Result<ListedHost[], string>> {
    try {
      return ok(
        await withTimeout(TIMEOUT_MS, signal, limited =>
          this.fetchChanged(limited),
        ),
      );
    } catch (error) {
      return err((error as Error).message);
    }
  }

  private async fetchChanged(signal: AbortSignal): Promise<ListedHost[]> {
    const {cached: held} = this;
    const headers = held === undefined ? {} : {'if-none-match': held.tag};
    const res = await request(`${this.url}/hosts`, {headers, signal});
    if (held !== undefined && res.statusCode === STATUS_NOT_MODIFIED) {
      await res.body.dump();
      return held.hosts;
    }
    const {hosts} = hostListSchema.parse(await res.body.json());
    const tag = res.headers.etag;
    this.cached = typeof tag === 'string' ? {tag, hosts} : undefined;
    return hosts;
  }
}
