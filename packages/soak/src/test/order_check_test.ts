import {OrderCall} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {DisturbanceBook} from '../lib/disturbance_book.js';
import {checkOrders} from '../lib/order_check.js';
import {ORDER_RETURN_MS, checkOrderReturn} from '../lib/order_return_check.js';
import {RequestLedger} from '../lib/request_ledger.js';
import {PROMISE, SoakRecord} from '../lib/soak_checks.js';

const GAP_MS = 3_000;

function order(holder: string, fencing: number, atMs: number): OrderCall {
  return {text: 'unload m1', holder, fencing, atMs, isAccepted: true};
}

/** Returns the record of two workers, the second of which gets no order. */
function recordOf(orders: OrderCall[]): SoakRecord {
  const worker = {runs: [], initialModels: 1, modelCapacity: 1};
  return {
    ledger: new RequestLedger(),
    workers: [
      {...worker, name: 'e0', orders},
      {...worker, name: 'e1', orders: []},
    ],
    withdrawn: [],
    drained: [],
    limit: {key: '', windowMs: 0, requests: 0},
    minOrderGapMs: GAP_MS,
    resumptionsMs: [],
    restoresMs: [],
    callersEndMs: 0,
    disturbances: new DisturbanceBook(0, 0),
    minTimeoutMs: 0,
    streamEvents: 0,
    hostEndsMs: new Map([['a', []]]),
    crashesMs: [],
  };
}

function find(record: SoakRecord): string[] {
  return checkOrders(record).map(({promise}) => promise);
}

describe('checkOrders', () => {
  it('accepts rising numbers of holders that keep the gap', () => {
    const orders = [order('a', 1, 0), order('b', 4, GAP_MS)];
    expect(find(recordOf(orders))).to.deep.equal([]);
  });

  it('finds turns within the gap', () => {
    const orders = [order('a', 1, 0), order('b', 4, GAP_MS - 1)];
    expect(find(recordOf(orders))).to.deep.equal([PROMISE.singleHolder]);
  });

  it('finds a lower number, also of the same holder', () => {
    const orders = [order('a', 4, 0), order('a', 1, 10), order('a', 1, 20)];
    expect(find(recordOf(orders))).to.deep.equal([PROMISE.risingNumber]);
  });

  it('finds a number of two holders, also at two workers', () => {
    const record = recordOf([order('a', 4, 0)]);
    const [first, second] = record.workers;
    const workers = [first, {...second, orders: [order('b', 4, 9_000)]}];
    expect(find({...record, workers})).to.deep.equal([PROMISE.ownNumber]);
  });

  it('counts orders that are not accepted', () => {
    const refused = {...order('a', 1, 10), isAccepted: false};
    const orders = [order('a', 4, 0), refused];
    expect(find(recordOf(orders))).to.deep.equal([PROMISE.risingNumber]);
  });

  it('skips orders that a resumption released', () => {
    const orders = [order('b', 4, 5_000), order('a', 1, 5_400)];
    const record = {...recordOf(orders), resumptionsMs: [5_200]};
    expect(find(record)).to.deep.equal([]);
  });
});

describe('checkOrderReturn', () => {
  const restored = {restoresMs: [0], callersEndMs: ORDER_RETURN_MS + 2_000};

  it('finds that orders end after those of the lease before', () => {
    const record = {...recordOf([order('a', 1, 1_000)]), ...restored};
    const [violation] = checkOrderReturn(record);
    expect(violation.promise).to.equal(PROMISE.ordersReturn);
  });

  it('accepts an order within the time', () => {
    const orders = [order('a', 1, 1_000), order('b', 4, ORDER_RETURN_MS)];
    const record = {...recordOf(orders), ...restored};
    expect(checkOrderReturn(record)).to.deep.equal([]);
  });

  it('accepts that no host was undisturbed', () => {
    const disturbances = new DisturbanceBook(0, 0);
    const fromMs = performance.now();
    disturbances.recordDisturbance('a', ORDER_RETURN_MS);
    const record = recordOf([]);
    const callersEndMs = fromMs + ORDER_RETURN_MS;
    const restoresMs = [fromMs];
    expect(
      checkOrderReturn({...record, callersEndMs, disturbances, restoresMs}),
    ).to.deep.equal([]);
  });
});
