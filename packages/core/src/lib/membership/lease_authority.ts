/** The right to give orders in a zone. @packageDocumentation */

import {Result} from 'neverthrow';

/** The right to give orders until a moment. */
export interface Authority {
  /** Goes with every order. */
  fencing: number;
  /** Clock time after which the authority no longer stands. */
  validUntilMs: number;
}

/** Why a host may not give orders. */
export interface NoAuthority {
  type: 'no-authority';
  message: string;
}

/** Tells whether this host may give orders; asked before each order. */
export abstract class LeaseAuthority {
  /** @returns the authority that stands now. */
  abstract check(): Result<Authority, NoAuthority>;

  /** @returns the host that is believed to hold the lease. */
  abstract holder(): string | undefined;
}
