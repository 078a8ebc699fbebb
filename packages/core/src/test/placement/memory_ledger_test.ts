import {expect} from 'chai';
import fc from 'fast-check';
import {Inventory, MAX_ORDER_DELAY_MS, MemoryLedger} from '../../index.js';

const MEMORY_BYTES = 100;
const KV_BYTES = 5;

interface Held {
  version: string;
  bytes: number;
  state: 'loading' | 'ready';
}

/** A target that executes orders late, twice, or with their answer lost. */
class FakeTarget {
  readonly held = new Map<string, Held>();
  readonly done = new Set<string>();

  load(id: string, version: string, bytes: number): void {
    if (this.done.has(id) || this.held.has(version)) return;
    this.done.add(id);
    this.held.set(version, {version, bytes, state: 'ready'});
  }

  get usedBytes(): number {
    return [...this.held.values()].reduce((sum, {bytes}) => sum + bytes, 0);
  }

  inventory(): Inventory {
    return {
      target: 't',
      memoryBytes: MEMORY_BYTES,
      usedBytes: this.usedBytes,
      slots: 8,
      running: 0,
      highestFencing: 1,
      leaving: false,
      role: 'any',
      onDisk: [],
      inMemory: [],
      residents: [...this.held.values()].map(({version, bytes, state}) => {
        return {
          model: version,
          version,
          bytes,
          state,
          running: 0,
          adapters: [],
        };
      }),
    };
  }
}

function newLedger(): MemoryLedger {
  const ledger = new MemoryLedger(() => KV_BYTES);
  ledger.setTargets([{name: 't', memoryBytes: MEMORY_BYTES, slots: 8}]);
  return ledger;
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant('load' as const),
    model: fc.integer({min: 0, max: 9}),
    bytes: fc.integer({min: 1, max: 50}),
    delivery: fc.constantFrom('done', 'lost', 'late', 'never'),
  }),
  fc.record({
    kind: fc.constant('evict' as const),
    model: fc.integer({min: 0, max: 9}),
    lost: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('report' as const),
    afterMs: fc.integer({min: 1, max: 2 * MAX_ORDER_DELAY_MS}),
  }),
  fc.record({kind: fc.constant('take-over' as const)}),
);

describe('MemoryLedger', () => {
  it('keeps ledger and target within memory and to what was decided', () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const target = new FakeTarget();
        let ledger = newLedger();
        let nowMs = 1;
        let nextId = 0;
        const decided = new Set<string>();
        let late: Array<{atMs: number; run: () => void}> = [];
        const runLate = () => {
          for (const {run} of late.filter(({atMs}) => atMs <= nowMs)) run();
          late = late.filter(({atMs}) => atMs > nowMs);
        };
        for (const action of steps) {
          nowMs += 1;
          const account = ledger.account('t')!;
          if (action.kind === 'load') {
            const id = String(nextId++);
            const version = `v${action.model}`;
            const known = {model: version, version};
            if (account.isHeldOrOrdered(known)) continue;
            const bytes = action.bytes + KV_BYTES;
            const reserved = ledger.reserve('t', {
              ...{id, ...known, bytes, sentMs: nowMs},
              ...{expectedMs: nowMs, unknown: false, evict: []},
            });
            if (reserved.isErr()) continue;
            decided.add(version);
            const run = () => target.load(id, version, action.bytes);
            if (action.delivery === 'late') {
              late.push({atMs: nowMs + MAX_ORDER_DELAY_MS, run});
            } else if (action.delivery !== 'never') {
              run();
            }
            const outcome = action.delivery === 'done' ? 'done' : 'unknown';
            account.settle(id, outcome, nowMs);
          } else if (action.kind === 'evict') {
            const version = `v${action.model}`;
            if (account.replica({model: version, version}) === undefined) {
              continue;
            }
            target.held.delete(version);
            if (!action.lost) {
              account.removeReplica({model: version, version}, nowMs);
            }
          } else if (action.kind === 'report') {
            nowMs += action.afterMs;
            runLate();
            account.applyInventory(target.inventory(), nowMs);
          } else {
            // A new controller waits until old orders can no longer arrive.
            nowMs += MAX_ORDER_DELAY_MS;
            runLate();
            ledger = newLedger();
            ledger.account('t')!.applyInventory(target.inventory(), nowMs);
          }
          runLate();
          const {usedBytes} = ledger.account('t')!;
          expect(usedBytes).to.be.at.most(MEMORY_BYTES);
          expect(target.usedBytes).to.be.at.most(MEMORY_BYTES);
          expect(target.usedBytes).to.be.at.most(usedBytes);
          for (const version of target.held.keys()) {
            expect(decided.has(version)).to.equal(true);
          }
        }
      }),
      {numRuns: 500},
    );
  });

  it('keeps a reservation of unknown outcome until its order has expired', () => {
    const ledger = newLedger();
    const account = ledger.account('t')!;
    const reservation = {
      ...{id: '1', model: 'm', version: 'v', bytes: 60},
      ...{sentMs: 10, expectedMs: 20, unknown: false, evict: []},
    };
    expect(ledger.reserve('t', reservation).isOk()).to.equal(true);
    account.settle('1', 'unknown', 100);
    const empty = new FakeTarget().inventory();
    account.applyInventory(empty, 10 + MAX_ORDER_DELAY_MS);
    expect(account.freeBytes).to.equal(40);
    account.applyInventory(empty, 11 + MAX_ORDER_DELAY_MS);
    expect(account.freeBytes).to.equal(100);
  });

  it('ignores an inventory that was requested before a change', () => {
    const ledger = newLedger();
    const account = ledger.account('t')!;
    const before = new FakeTarget().inventory();
    ledger.reserve('t', {
      ...{id: '1', model: 'm', version: 'v', bytes: 60},
      ...{sentMs: 10, expectedMs: 20, unknown: false, evict: []},
    });
    account.settle('1', 'done', 100);
    expect(account.applyInventory(before, 99)).to.equal(false);
    expect(account.freeBytes).to.equal(40);
  });

  it('keeps the memory of an evicted replica for the load that evicts it', () => {
    const ledger = newLedger();
    const account = ledger.account('t')!;
    const target = new FakeTarget();
    target.load('0', 'old', 60);
    account.applyInventory(target.inventory(), 10);
    const old = {model: 'old', version: 'old'};
    const load = {
      ...{id: '1', model: 'm', version: 'v', bytes: 70, evict: [old]},
      ...{sentMs: 20, expectedMs: 30, unknown: false},
    };
    expect(ledger.reserve('t', load).isOk()).to.equal(true);
    // The inventory shows the eviction before the order is answered.
    target.held.delete('old');
    account.applyInventory(target.inventory(), 25);
    expect(account.freeBytes).to.equal(30);
    account.removeReplica(old, 26);
    expect(account.freeBytes).to.equal(30);
  });

  it('does not count a replica that is loaded again as a victim', () => {
    const ledger = newLedger();
    const account = ledger.account('t')!;
    const target = new FakeTarget();
    target.load('0', 'old', 40);
    account.applyInventory(target.inventory(), 10);
    const old = {model: 'old', version: 'old'};
    const times = {sentMs: 20, expectedMs: 30, unknown: false};
    const load = {id: '1', model: 'm', version: 'v', bytes: 45, evict: [old]};
    expect(ledger.reserve('t', {...load, ...times}).isOk()).to.equal(true);
    account.removeReplica(old, 25);
    const again = {...old, id: '2', bytes: 45, evict: []};
    expect(ledger.reserve('t', {...again, ...times}).isOk()).to.equal(true);
    account.settle('2', 'done', 30);
    expect(account.freeBytes).to.equal(10);
  });
});
