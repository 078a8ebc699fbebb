import {expect} from 'chai';
import {OrderLease} from '../../lib/residency/order_lease.js';
import {
  ORDER_REPLY,
  OrderOptions,
  OrderPort,
  OrderReply,
  ResidencyOrder,
} from '../../lib/residency/order_port.js';
import {ResidencyAccount} from '../../lib/residency/residency_account.js';
import {ResidencyOrders} from '../../lib/residency/residency_order_sender.js';
import {KnownTarget} from '../../lib/gateway/target_table.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {engineConfig, targetRegistration} from '../gateway/gateway_fixtures.js';

/** Connects to a target, and then asks whether the order may still be sent. */
class ConnectingPort extends OrderPort {
  readonly written: ResidencyOrder[] = [];

  constructor(private readonly connect: () => void) {
    super();
  }

  override async send(
    unusedTarget: KnownTarget,
    order: ResidencyOrder,
    {canStillSend}: OrderOptions,
  ): Promise<OrderReply> {
    this.connect();
    if (!canStillSend()) return ORDER_REPLY.withdrawn;
    this.written.push(order);
    return ORDER_REPLY.accepted;
  }

  override async report(): Promise<undefined> {}
}

describe('ResidencyOrders', () => {
  const {signal} = new AbortController();
  let lease: {canOrder: boolean; fencingNumber: number};

  async function send(connect: () => void): Promise<ResidencyOrder[]> {
    const clock = new ManualClock();
    const port = new ConnectingPort(connect);
    lease = {canOrder: true, fencingNumber: 7};
    const orders = new ResidencyOrders({
      clock,
      logger: new SilentLogger(),
      lease: lease as OrderLease,
      port,
    });
    const registration = targetRegistration({id: 't1', zone: 'a'});
    const target = new KnownTarget(registration, clock);
    const account = new ResidencyAccount(target, engineConfig(), clock.now());
    const order = {verb: 'load', model: 'm1', adapter: undefined} as const;
    await orders.send(account, order, signal);
    return port.written;
  }

  it('sends an order under the lease', async () => {
    expect(await send(() => {})).to.have.lengthOf(1);
  });

  // Orders of the former holder reached targets among those of the next one.
  it('does not write an order whose lease passed on while it was connecting', async () => {
    expect(await send(() => (lease.canOrder = false))).to.deep.equal([]);
    expect(await send(() => (lease.fencingNumber += 1))).to.deep.equal([]);
  });
});
