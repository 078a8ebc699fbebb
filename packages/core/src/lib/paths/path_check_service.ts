/** Lets other hosts compare their paths with those of this host. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {PATH_CHECK, PATH_REPLY, PathReply} from './path_messages.js';
import {PathTable} from './path_table.js';

/** Time for which a reply of a target shows that this host reaches targets. */
const PROOF_LIFETIME_MS = 200;

/** Dependencies of a {@link PathCheckService}. */
export interface PathCheckServiceParts {
  tasks: TaskSupervisor;
  clock: Clock;
  network: PeerNetwork;
  random: Random;
  targets: TargetTable;
  paths: PathTable;
  checks: DirectChecks;
  /** Called with a target that this host should reach, but does not. */
  onUnreached: (target: KnownTarget) => void;
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
    const {checks, paths, targets, tasks} = this.parts;
    const target = targets.get(id);
    if (target === undefined || target.isEvacuated) return PATH_REPLY.unchecked;
    if (paths.isLost(target)) return PATH_REPLY.noPath;
    let hasControl = false;
    const controlled = tasks.run('path_control', async () => {
      hasControl = await this.reachesOther(target);
    });
    const reply = await checks.check(target);
    if (reply === PATH_REPLY.listening) return reply;
    await controlled;
    if (hasControl) return reply;
    // This host may have no requests that would have shown it.
    this.parts.onUnreached(target);
    return PATH_REPLY.unchecked;
  }

  private async reachesOther(target: KnownTarget): Promise<boolean> {
    const {checks, clock, paths, random} = this.parts;
    if (paths.hasReachedOther(target, clock.now() - PROOF_LIFETIME_MS))
      return true;
    const others = paths.reachable().filter(other => other !== target);
    if (others.length === 0) return true;
    const reply = await checks.check(random.pick(others));
    return reply === PATH_REPLY.listening;
  }
}
