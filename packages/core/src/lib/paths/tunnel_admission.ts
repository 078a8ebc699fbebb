/** Decides for which targets this host serves tunnels. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {PathTable} from './path_table.js';
import {TUNNEL_REFUSAL, TunnelRefusal} from './tunnel_refusal.js';

/** Dependencies of a {@link TunnelAdmission}. */
export interface TunnelAdmissionParts {
  targets: TargetTable;
  paths: PathTable;
  isStopping: () => boolean;
  /** Whether the memory for callers is used up. */
  isMemoryPressed: () => boolean;
}

/**
 * Admits tunnels to the targets that this host itself would send requests to,
 * and to no other address.
 */
export class TunnelAdmission {
  /** @param parts - see {@link TunnelAdmissionParts}. */
  constructor(private readonly parts: TunnelAdmissionParts) {}

  /**
   * Checks whether a tunnel may be opened.
   *
   * @param address - IP address and port of the target, as it is registered.
   * @returns why it may not; undefined if it may.
   */
  check(address: string): TunnelRefusal | undefined {
    const {isMemoryPressed, isStopping, paths} = this.parts;
    if (isStopping()) return TUNNEL_REFUSAL.stopping;
    const target = this.find(address);
    if (target === undefined || target.isRemoved || target.isEvacuated)
      return TUNNEL_REFUSAL.unknownTarget;
    // A tunnel of this host would make a loop.
    if (paths.isLost(target)) return TUNNEL_REFUSAL.noPath;
    if (isMemoryPressed()) return TUNNEL_REFUSAL.noResources;
    return undefined;
  }

  private find(address: string): KnownTarget | undefined {
    for (const target of this.parts.targets.all()) {
      if (target.registration.address === address) return target;
    }
    return undefined;
  }
}
