/** Gives orders to targets under the zone's lease. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {ENGINE_ERROR, EngineClient, Order} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

/** Why an order was not carried out. */
export interface OrderFailure {
  /** Whether it may yet take effect, or has. */
  type: 'refused' | 'unknown';
  message: string;
}

/** What an {@link OrderSender} works with. */
export interface OrderSenderOptions {
  lease: LeaseAuthority;
  clock: Clock;
  logger: Logger;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
}

/** Sends each order only while the lease stands. */
export class OrderSender {
  constructor(private readonly options: OrderSenderOptions) {}

  /**
   * @param target - name of the target.
   * @param id - the order has one effect at most by this id.
   * @param order - the order.
   * @param timeoutMs - how long to wait for its end, in milliseconds.
   * @returns nothing once it is carried out, or why not.
   */
  async send(
    target: string,
    id: string,
    order: Order,
    timeoutMs: number,
  ): Promise<Result<void, OrderFailure>> {
    const {clock, engineOf, lease, logger} = this.options;
    const timeout = new AbortController();
    const timer = clock.after(timeoutMs, () => timeout.abort());
    const engine = engineOf(target);
    const authority = lease.check();
    if (authority.isErr()) {
      timer.cancel();
      return err({type: 'refused', message: authority.error.message});
    }
    const {fencing} = authority.value;
    const sentMs = clock.now();
    const answer = await engine.order({id, fencing, order}, timeout.signal);
    timer.cancel();
    const tookMs = Math.round(clock.now() - sentMs);
    const error = answer.isErr() ? answer.error.message : undefined;
    const {kind} = order;
    logger.info('order_done', {target, kind, id, fencing, tookMs, error});
    if (answer.isOk()) return ok(undefined);
    const {type, message} = answer.error;
    const unknown = type === ENGINE_ERROR.broken;
    return err({type: unknown ? 'unknown' : 'refused', message});
  }
}
