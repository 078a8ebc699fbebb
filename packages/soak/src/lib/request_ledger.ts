/** Records the requests of callers and their responses. @packageDocumentation */

import {Framing} from '@fuchsiacleat/core/gateway';

/** Kind of route: run once, safe to retry, streamed, or streamed and resumable. */
export type RouteName = 'once' | 'repeatable' | 'stream' | 'resumable';

/** @returns whether the answers of a route are streams of events. */
export function isStream(route: RouteName): boolean {
  return route === 'stream' || route === 'resumable';
}

/** A request of a caller and its outcome. */
export interface SentRequest {
  id: string;
  route: RouteName;
  key: string;
  /** Name of the host that the request was sent to. */
  host: string;
  /** Time of sending, on the monotonic clock of this process. */
  sentMs: number;
  /** Whether the host was undisturbed from before the request was sent. */
  wasHostUndisturbed: boolean;
  endedMs?: number;
  /** Unset if no response was received. */
  status?: number;
  body?: string;
  /** Framing of the response, as its head says; unset if no response was received. */
  framing?: Framing;
  /** Whether the complete response was received. */
  isComplete: boolean;
  /** The worker's signature from the response. */
  stamp?: string;
  /** Body of the request; the same for all short sound requests. */
  requestBody?: string;
  /** The request whose stream this one takes up, and its events so far. */
  resumed?: {id: string; text: string};
  /** Code or message of the error that ended the response early. */
  error?: string;
}

/** Holds every request of a run, by id. */
export class RequestLedger {
  private readonly requests = new Map<string, SentRequest>();

  /** @param request - request that is about to be sent. */
  add(request: SentRequest): void {
    this.requests.set(request.id, request);
  }

  /** @returns the request with this id, if a caller sent it. */
  get(id: string): SentRequest | undefined {
    return this.requests.get(id);
  }

  /** @returns all requests. */
  all(): SentRequest[] {
    return [...this.requests.values()];
  }

  /** @returns the number of requests by status. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {status, isComplete} of this.requests.values()) {
      const name =
        status === undefined ? 'none' : isComplete ? status : 'broken';
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }
}
