/** Creates the residency controller and its collaborators. @packageDocumentation */

import {DeploymentState} from '../gateway/deployment_state.js';
import {TargetTable} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {AccountBook} from './account_book.js';
import {OrderLease} from './order_lease.js';
import {OrderPort} from './order_port.js';
import {ResidencyOrders} from './order_sender.js';
import {ResidencyAccount} from './residency_account.js';
import {ResidencyController} from './residency_controller.js';
import {SwapExecutor} from './swap_executor.js';
import {TokenLender} from './token_lender.js';
import {UsageTable} from './usage_table.js';

/** Dependencies that a host passes to {@link makeController}. */
export interface ControllerSurroundings {
  clock: Clock;
  logger: Logger;
  state: DeploymentState;
  targets: TargetTable;
  lease: OrderLease;
  port: OrderPort;
  usage: UsageTable;
  lender: TokenLender;
  /** Publishes to the hosts which models of a target take requests. */
  publish: (account: ResidencyAccount) => void;
}

/**
 * Creates a controller with its accounts, order sender and swap executor.
 *
 * @param parts - see {@link ControllerSurroundings}.
 * @returns the controller and the registry of its accounts.
 */
export function makeController(parts: ControllerSurroundings): {
  book: AccountBook;
  controller: ResidencyController;
} {
  const orders = new ResidencyOrders(parts);
  const book = new AccountBook({...parts, orders});
  const executor = new SwapExecutor({...parts, orders});
  const controller = new ResidencyController({...parts, book, executor});
  return {book, controller};
}
