/** The platform's list of hosts. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {withTimeLimit} from '../time/time_limit.js';

const TIMEOUT_MS = 2_000;

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

/** The lagging list of live and leaving hosts. */
export abstract class HostList {
  /**
   * @param signal - gives up.
   * @returns the hosts, as they were some time ago.
   */
  abstract fetch(signal: AbortSignal): Promise<Result<ListedHost[], string>>;
}

/** A {@link HostList} over HTTP. */
export class HttpHostList extends HostList {
  /** @param url - base URL of the service. */
  constructor(private readonly url: string) {
    super();
  }

  override async fetch(
    signal: AbortSignal,
  ): Promise<Result<ListedHost[], string>> {
    try {
      const body = await withTimeLimit(TIMEOUT_MS, signal, async limited => {
        const res = await request(`${this.url}/hosts`, {signal: limited});
        return res.body.json();
      });
      return ok(hostListSchema.parse(body).hosts);
    } catch (error) {
      return err((error as Error).message);
    }
  }
}
