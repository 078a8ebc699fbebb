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

/** Options of a {@link ConsentGrantor}. */
export interface ConsentGrantorOptions {
  clock: Clock;
  state: LeaseState;
  /** Incarnation of this host. */
  incarnation: string;
  /** Whether this host is appending a claim to the log. */
  isClaiming: () => boolean;
}

/** Grants consent on behalf of a member, which must not claim meanwhile. */
export class ConsentGrantor {
  private boundSinceMs = -Infinity;
  private boundUntilMs = -Infinity;
  private refusedFencing: number | undefined;

  constructor(private readonly options: ConsentGrantorOptions) {}

  /** Whether this host is bound by a consent. */
  get isBound(): boolean {
    return this.options.clock.now() < this.boundUntilMs;
  }

  /** Time for which this host has been bound without a gap, in milliseconds. */
  get boundForMs(): number {
    if (!this.isBound) return 0;
    return this.options.clock.now() - this.boundSinceMs;
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
    const knownFencing = lease?.fencing ?? -1;
    // The log may still accept a claim in flight at any moment.
    if (isClaiming() || knownFencing > fencing) return false;
    if (knownFencing === fencing && lease?.released) return false;
    if (this.refusedFencing === fencing) return false;
    const nowMs = clock.now();
    if (!this.isBound) this.boundSinceMs = nowMs;
    this.boundUntilMs = nowMs + CONSENT_TTL_MS + CONSENT_MARGIN_MS;
    return true;
  }

  /**
   * Refuses further consent to the current lease. Consent already granted stays
   * in force until it expires.
   */
  refuseCurrentLease(): void {
    this.refusedFencing = this.options.state.current?.fencing;
  }

  /**
   * Allows consent again; called when a lease record arrives through the log.
   */
  clearRefusal(): void {
    this.refusedFencing = undefined;
  }
}
