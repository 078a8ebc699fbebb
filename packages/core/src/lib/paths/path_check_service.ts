/** Lets other hosts compare their paths with those of this host. @packageDocumentation */

import {TargetTable} from '../gateway/target_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {PATH_CHECK, PATH_REPLY, PathReply} from './path_messages.js';
import {PathTable} from './path_table.js';

/** Dependencies of a {@link PathCheckService}. */
export interface PathCheckServiceParts {
  network: PeerNetwork;
  random: Random;
  targets: TargetTable;
  paths: PathTable;
  checks: DirectChecks;
}

/**
 * Answers whether this host reaches a target. That it does not says something
 * about the target only if this host reaches another one at the same time.
 */
export class PathCheckService {
  /** @param parts - see {@link PathCheckServiceParts}. */
  constructor(private readonly parts: PathCheckServiceParts) {}

  /** Answers the questions of other hosts from now on. */
  start(): void {
    this.parts.network.serveUnary(PATH_CHECK, async ({target}) => ({
      reply: await this.check(target),
    }));
  }

  private async check(id: string): Promise<PathReply> {
    const {checks, paths, random, targets} = this.parts;
    const target = targets.get(id);
    if (target === undefined || target.isEvacuated) return PATH_REPLY.unchecked;
    if (paths.isLost(target)) return PATH_REPLY.noPath;
    const others = paths.reachable().filter(other => other !== target);
    const checkOther = () =>
      others.length === 0 ? undefined : checks.check(random.pick(others));
    const own = checks.check(target);
    const control = checkOther();
    const reply = await own;
    if (reply === PATH_REPLY.listening) return reply;
    const controlReply = await control;
    const isProven =
      controlReply === undefined || controlReply === PATH_REPLY.listening;
    return isProven ? reply : PATH_REPLY.unchecked;
  }
}
