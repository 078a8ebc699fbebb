/** Builds what a host needs to know its paths to targets. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {DirectChecks} from './direct_checks.js';
import {HelperChoice} from './helper_choice.js';
import {HelperDirectory} from './helper_directory.js';
import {HelperTable} from './helper_table.js';
import {PathCheckService} from './path_check_service.js';
import {PathJudge} from './path_judge.js';
import {PathMonitor} from './path_monitor.js';
import {PathTable} from './path_table.js';

/** Dependencies of {@link createHostPaths}. */
export interface HostPathsParts {
  clock: Clock;
  random: Random;
  logger: Logger;
  tasks: TaskSupervisor;
  network: PeerNetwork;
  targets: TargetTable;
  /** Zone of this host. */
  zone: string;
  /** The holder of the order lease, while it is heard. */
  holder: () => {host: string; incarnation: string} | undefined;
  hostCount: () => number;
  /** See {@link DirectChecks}; never uses a tunnel. */
  isListening: (target: KnownTarget) => Promise<boolean | undefined>;
  /** See {@link PathMonitor}. */
  abandonSilent: (target: KnownTarget, sinceMs: number) => void;
  /** Called for each check of a path. */
  onCheck: () => void;
  /** Ends all questions to other hosts. */
  signal: AbortSignal;
}

/** What a host knows about paths. */
export interface HostPaths {
  paths: PathTable;
  monitor: PathMonitor;
  directory: HelperDirectory;
  /** What other hosts have reported to this one as the lease holder. */
  reported: HelperTable;
}

/** Builds the knowledge of a host about its paths to targets. */
export function createHostPaths(parts: HostPathsParts): HostPaths {
  const {clock, isListening, logger, onCheck, random, targets, zone} = parts;
  const paths = new PathTable(clock, targets);
  const checks = new DirectChecks(isListening, onCheck);
  const reported = new HelperTable(clock, random);
  const choice = new HelperChoice(clock, random, logger, zone);
  const directory = new HelperDirectory({...parts, table: reported, choice});
  const judge = new PathJudge({...parts, checks, choice, directory});
  const monitor = new PathMonitor({
    ...parts,
    paths,
    checks,
    choice,
    directory,
    judge,
  });
  const onUnreached = (target: KnownTarget) => monitor.checkLater(target);
  new PathCheckService({...parts, paths, checks, onUnreached}).start();
  return {paths, monitor, directory, reported};
}
