/** What decides about models, put together. @packageDocumentation */

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

/** What a host gives to {@link makeController}. */
export interface ControllerSurroundings {
  clock: Clock;
  logger: Logger;
  state: DeploymentState;
  targets: TargetTable;
  lease: OrderLease;
  port: OrderPort;
  usage: UsageTable;
  lender: TokenLender;
  /** Tells the hosts what a target can be sent. */
  publish: (account: ResidencyAccount) => void;
}

/**
 * @param parts - see {@link ControllerSurroundings}.
 * @returns a controller and the accounts that it keeps.
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
