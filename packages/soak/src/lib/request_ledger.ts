/** What callers sent and what they got. @packageDocumentation */

/** How the configuration treats a path. */
export type RouteName = 'once' | 'repeatable' | 'stream';

/** A request of a caller. */
export interface SentRequest {
  id: string;
  route: RouteName;
  key: string;
  /** Name of the host that it was sent to. */
  host: string;
  /** Monotonic clock of this process. */
  sentMs: number;
  /** Whether the host was left in peace from before it was sent on. */
  isHostCalm: boolean;
  endedMs?: number;
  /** Unset if no answer came. */
  status?: number;
  body?: string;
  /** Whether the answer ended as a complete one does. */
  isWhole: boolean;
  /** Signature of the worker, as the answer bears it. */
  stamp?: string;
}

/** Every request of a run, by id. */
export class RequestLedger {
  private readonly requests = new Map<string, SentRequest>();

  /** @param request - a request that is about to be sent. */
  add(request: SentRequest): void {
    this.requests.set(request.id, request);
  }

  /** @returns the request with an id, if a caller sent it. */
  get(id: string): SentRequest | undefined {
    return this.requests.get(id);
  }

  /** @returns all requests. */
  all(): SentRequest[] {
    return [...this.requests.values()];
  }

  /** @returns how many requests ended with each status. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {status, isWhole} of this.requests.values()) {
      const name = status === undefined ? 'none' : isWhole ? status : 'broken';
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }
}
