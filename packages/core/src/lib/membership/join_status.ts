/** Status of this host's join. @packageDocumentation */

/**
 * Tells when this host may claim the lease and spend tokens of its zone.
 *
 * It must do neither while an earlier member does not know about it.
 */
export abstract class JoinStatus {
  /**
   * Whether every earlier member has acknowledged this host's join, over a link
   * or through the log, or is gone from the host list. Once true, the value
   * stays true until the zone's controller removes this host by a LEAVE record.
   */
  abstract get isEstablished(): boolean;

  /** @returns a promise that resolves once the join is established. */
  abstract whenEstablished(): Promise<void>;
}
