/** Authority to issue orders in a zone. @packageDocumentation */

import {Result} from 'neverthrow';

/** Longest time that a target may work on an order, in milliseconds. */
export const MAX_ORDER_DURATION_MS = 30_000;

/** The right to issue orders for a limited time. */
export interface Authority {
  /** Fencing number, sent with every order. */
  fencing: number;
  /** Clock time at which the authority expires, in milliseconds. */
  validUntilMs: number;
  /**
   * Clock time since which the authority has been valid without a gap. When it
   * changes, the state of the targets must be read again: first a no-op order
   * with the fencing number, then the inventory.
   */
  heldSinceMs: number;
  /**
   * Clock time from which orders may be sent to targets that do not check
   * fencing numbers. Before it, an order of an earlier holder may still run
   * there.
   */
  orderableFromMs: number;
}

/** The reason for which a host has no authority. */
export interface NoAuthority {
  type: 'no-authority';
  message: string;
}

/** Determines whether this host may issue orders. Checked before each order. */
export abstract class LeaseAuthority {
  private readonly gainedListeners: Array<(authority: Authority) => void> = [];
  private readonly lostListeners: Array<() => void> = [];

  /** @returns the authority that is valid now, or why there is none. */
  abstract check(): Result<Authority, NoAuthority>;

  /** @returns the host that holds the lease according to the log, if any. */
  abstract holder(): string | undefined;

  /** @param listener - called when authority is gained, also after a gap. */
  onGained(listener: (authority: Authority) => void): void {
    this.gainedListeners.push(listener);
  }

  /** @param listener - called when the loss of authority is detected. */
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
