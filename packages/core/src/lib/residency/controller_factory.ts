/** Creates the residency controller and its collaborators. @packageDocumentation */

import {DeploymentState} from '../gateway/deployment_state.js';
import {TargetTable} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {AccountRegistry} from './account_registry.js';
import {LoadFailures} from './load_failures.js';
import {OrderLease} from './order_lease.js';
import {OrderPort} from './order_port.js';
import {ResidencyOrders} from './residency_order_sender.js';
import {ResidencyAccount} from './residency_account.js';
import {ResidencyController} from './residency_controller.js';
import {SwapExecutor} from './swap_executor.js';
import {TokenLender} from './token_lender.js';
import {UsageTable} from './usage_table.js';

/** Dependencies that a host passes to {@link createController}. */
export interface ControllerParts {
  clock: Clock;
  logger: Logger;
  tasks: TaskSupervisor;
  state: DeploymentState;
  targets: TargetTable;
  lease: OrderLease;
  port: OrderPort;
  usage: UsageTable;
  lender: TokenLender;
  /** Publishes to the hosts which models of a target take requests. */
  publish: (account: ResidencyAccount) => void;
  /** Whether copies and loads follow the work of models; true by default. */
  plansByWork?: boolean;
}

/**
 * Creates a controller with its accounts, order sender and swap executor.
 *
 * @param parts - see {@link ControllerParts}.
 * @returns the controller and the registry of its accounts.
 */
export function createController(parts: ControllerParts): {
  registry: AccountRegistry;
  controller: ResidencyController;
} {
  const orders = new ResidencyOrders(parts);
  const loadFailures = new LoadFailures(parts.clock, parts.logger);
  const registry = new AccountRegistry({...parts, orders, loadFailures});
  const executor = new SwapExecutor({...parts, orders});
  const controller = new ResidencyController({
    ...parts,
    registry,
    executor,
    loadFailures,
  });
  return {registry, controller};
}
