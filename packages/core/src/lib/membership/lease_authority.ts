/** The right to give orders in a zone. @packageDocumentation */

import {Result} from 'neverthrow';

/** The longest that an order may take at a target, in milliseconds. */
export const LONGEST_ORDER_MS = 30_000;

/** The right to give orders until a moment. */
export interface Authority {
  /** Goes with every order. */
  fencing: number;
  /** Clock time after which the authority no longer stands. */
  validUntilMs: number;
  /**
   * Clock time since which the authority has stood without a gap. When it
   * changes, what is known of the targets must be read again: a no-op with the
   * fencing number first, then the inventory.
   */
  heldSinceMs: number;
  /**
   * Clock time from which targets that do not check fencing numbers may be
   * given orders; before it an order of an earlier holder may still run there.
   */
  orderableFromMs: number;
}

/** Why a host may not give orders. */
export interface NoAuthority {
  type: 'no-authority';
  message: string;
}

/** Tells whether this host may give orders; asked before each order. */
export abstract class LeaseAuthority {
  private readonly gainedListeners: Array<(authority: Authority) => void> = [];
  private readonly lostListeners: Array<() => void> = [];

  /** @returns the authority that stands now. */
  abstract check(): Result<Authority, NoAuthority>;

  /** @returns the host that is believed to hold the lease. */
  abstract holder(): string | undefined;

  /** @param listener - called when authority begins, also after a gap. */
  onGained(listener: (authority: Authority) => void): void {
    this.gainedListeners.push(listener);
  }

  /** @param listener - called when authority is seen to have ended. */
  onLost(listener: () => void): void {
    this.lostListeners.push(listener);
  }

  protected notifyGained(authority: Authority): void {
    for (const listener of this.gainedListeners) listener(authority);
  }

  protected notifyLost(): void {
    for (const listener of this.lostListeners) listener();
  }
}
