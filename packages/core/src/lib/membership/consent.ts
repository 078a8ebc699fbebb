/** How members uphold the lease while the log is unreachable. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {LeaseState} from './lease_state.js';

/** How long a consent counts at the holder, in milliseconds. */
export const CONSENT_TTL_MS = 4_000;

/** How much longer the member that gave it keeps to it, in milliseconds. */
export const CONSENT_MARGIN_MS = 500;

const consentSchema = z.object({
  /** Fencing number of the holder's lease. */
  fencing: z.number().int(),
  /** Incarnation of the member that is asked. */
  incarnation: z.string(),
});

/** See {@link CONSENT}. */
export type ConsentRequest = z.output<typeof consentSchema>;

const consentAnswerSchema = z.object({granted: z.boolean()});

/** The holder asks a member not to claim the lease for a while. */
export const CONSENT: PeerMethod<
  ConsentRequest,
  z.output<typeof consentAnswerSchema>
> = {
  name: 'lease.consent',
  body: consentSchema,
  event: consentAnswerSchema,
};

/** What a {@link ConsentGiver} works with. */
export interface ConsentGiverOptions {
  clock: Clock;
  state: LeaseState;
  /** Incarnation of this host. */
  incarnation: string;
  /** Whether a claim of this host is on its way to the log. */
  isClaiming: () => boolean;
}

/** A member's side of consent: while it stands, the member does not claim. */
export class ConsentGiver {
  private promisedSinceMs = -Infinity;
  private promisedUntilMs = -Infinity;
  private refusedFencing: number | undefined;

  constructor(private readonly options: ConsentGiverOptions) {}

  /** Whether a consent stands. */
  get promised(): boolean {
    return this.options.clock.now() < this.promisedUntilMs;
  }

  /** How long consent has been given without a gap, in milliseconds. */
  get promisedForMs(): number {
    if (!this.promised) return 0;
    return this.options.clock.now() - this.promisedSinceMs;
  }

  /**
   * @param request - names the lease that is to be upheld and this host.
   * @returns whether this host consents.
   */
  answer(request: ConsentRequest): boolean {
    const {clock, state, isClaiming} = this.options;
    const {fencing} = request;
    // The holder counts consents by incarnation.
    if (request.incarnation !== this.options.incarnation) return false;
    const lease = state.current;
    const known = lease?.fencing ?? -1;
    // A claim on its way may still be accepted by the log at any moment.
    if (isClaiming() || known > fencing) return false;
    if (known === fencing && lease?.released) return false;
    if (this.refusedFencing === fencing) return false;
    const nowMs = clock.now();
    if (!this.promised) this.promisedSinceMs = nowMs;
    this.promisedUntilMs = nowMs + CONSENT_TTL_MS + CONSENT_MARGIN_MS;
    return true;
  }

  /** Gives no more consent to the present lease. */
  withdraw(): void {
    this.refusedFencing = this.options.state.current?.fencing;
  }

  /** Consents again; called when the holder is heard through the log. */
  reconcile(): void {
    this.refusedFencing = undefined;
  }
}
