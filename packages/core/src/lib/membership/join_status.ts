/** Whether this host's join is known to all members before it. @packageDocumentation */

/**
 * Tells when a host may take part in what its zone's members share.
 *
 * A host that some earlier member does not know of must neither claim the
 * lease nor spend a part of the zone's tokens.
 */
export abstract class JoinStatus {
  /**
   * Whether every earlier member has acknowledged this host's join, by link
   * or through the log, or is off the host list. Once true it stays true,
   * unless the zone's controller removes this host by a LEAVE record.
   */
  abstract get established(): boolean;

  /** @returns a promise that resolves once the join is established. */
  abstract whenEstablished(): Promise<void>;
}
