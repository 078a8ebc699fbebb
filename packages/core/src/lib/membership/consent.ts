/** Lease extension by consent of the members while the log is unreachable. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {LeaseState} from './lease_state.js';

/**
 * Time for which a consent extends the lease at the holder, in milliseconds.
 */
export const CONSENT_TTL_MS = 4_000;

/** Additional time for which the member honors its consent, in milliseconds. */
export const CONSENT_MARGIN_MS = 500;

const consentSchema = z.object({
  /** Fencing number of the holder's lease. */
  fencing: z.number().int(),
  /** Incarnation of the member that the request is meant for. */
  incarnation: z.string(),
});

/** Request body of {@link CONSENT}. */
export type ConsentRequest = z.output<typeof consentSchema>;

const consentAnswerSchema = z.object({granted: z.boolean()});

/** Asks a member not to claim the lease until its consent expires. */
export const CONSENT: PeerMethod<
  ConsentRequest,
  z.output<typeof consentAnswerSchema>
> = {
  name: 'lease.consent',
  body: consentSchema,
  event: consentAnswerSchema,
};

/** Options of a {@link ConsentGiver}. */
export interface ConsentGiverOptions {
  clock: Clock;
  state: LeaseState;
  /** Incarnation of this host. */
  incarnation: string;
  /** Whether this host is appending a claim to the log. */
  isClaiming: () => boolean;
}

/** Grants consent on behalf of a member, which must not claim meanwhile. */
export class ConsentGiver {
  private promisedSinceMs = -Infinity;
  private promisedUntilMs = -Infinity;
  private refusedFencing: number | undefined;

  constructor(private readonly options: ConsentGiverOptions) {}

  /** Whether this host is bound by a consent. */
  get promised(): boolean {
    return this.options.clock.now() < this.promisedUntilMs;
  }

  /** Time for which this host has been bound without a gap, in milliseconds. */
  get promisedForMs(): number {
    if (!this.promised) return 0;
    return this.options.clock.now() - this.promisedSinceMs;
  }

  /**
   * Handles a request for consent.
   *
   * @param request - names the lease and the member that is asked.
   * @returns whether this host consents.
   */
  answer(request: ConsentRequest): boolean {
    const {clock, state, isClaiming} = this.options;
    const {fencing} = request;
    // The holder tracks consents by incarnation.
    if (request.incarnation !== this.options.incarnation) return false;
    const lease = state.current;
    const known = lease?.fencing ?? -1;
    // The log may still accept a claim in flight at any moment.
    if (isClaiming() || known > fencing) return false;
    if (known === fencing && lease?.released) return false;
    if (this.refusedFencing === fencing) return false;
    const nowMs = clock.now();
    if (!this.promised) this.promisedSinceMs = nowMs;
    this.promisedUntilMs = nowMs + CONSENT_TTL_MS + CONSENT_MARGIN_MS;
    return true;
  }

  /**
   * Refuses further consent to the current lease. Consent already granted stays
   * in force until it expires.
   */
  withdraw(): void {
    this.refusedFencing = this.options.state.current?.fencing;
  }

  /**
   * Allows consent again; called when a lease record arrives through the log.
   */
  reconcile(): void {
    this.refusedFencing = undefined;
  }
}
