import {expect} from 'chai';
import fc from 'fast-check';
import {revisionOf} from '../../lib/platform/log_position.js';
import {LEASE_EVENT, LeaseRecord} from '../../lib/residency/lease_log.js';
import {LeaseLogState} from '../../lib/residency/lease_log_state.js';
import {LEASE_TTL_MS} from '../../lib/residency/order_lease.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {HOLDER_GAP_MS, LeaseWorld} from './lease_world.js';

/** Longest time for a claim once the lease of another holder has expired. */
const CLAIM_TIME_MS = 2_000;
const TAKEOVER_MS = LEASE_TTL_MS + CLAIM_TIME_MS + HOLDER_GAP_MS;

/** Rules by which hosts of earlier releases number their claims. */
const RULE = {
  /** The offset of the claim; their records name no era. */
  offset: 'offset',
  /** Era and offset of the claim; their records name the era alone. */
  era: 'era',
} as const;

type Rule = (typeof RULE)[keyof typeof RULE];

/** Returns the number of a claim, by the rule of the release that made it. */
function numberOf({era, fencing}: LeaseRecord, offset: number): number {
  if (fencing !== undefined) return fencing;
  return era === undefined ? offset : revisionOf({era, offset});
}

/** Appends a claim of a host of an earlier release; returns its number. */
function claimAs(rule: Rule, {shared}: LeaseWorld): number {
  const offset = shared.records.length;
  const record: LeaseRecord = {
    event: LEASE_EVENT.claim,
    host: 'earlier',
    owner: 'earlier',
    incarnation: `earlier-${offset}`,
    ttlMs: LEASE_TTL_MS,
    ordersInMs: 0,
    hosts: 1,
    era: rule === RULE.era ? shared.era : undefined,
  };
  shared.append(record, offset);
  return numberOf(record, offset);
}

/** Returns the numbers of all claims that take effect from now on. */
function recordClaims({shared}: LeaseWorld): number[] {
  const claims: number[] = [];
  const append = shared.append.bind(shared);
  shared.append = (record, expectedEnd) => {
    const appended = append(record, expectedEnd);
    const {era = shared.era, event} = record;
    if (appended.isOk() && event === LEASE_EVENT.claim && era === shared.era)
      claims.push(numberOf(record, expectedEnd));
    return appended;
  };
  return claims;
}

/** Waits until a host of this release orders; returns its number. */
async function takeOver(world: LeaseWorld): Promise<number> {
  await world.run(TAKEOVER_MS);
  const holder = world.hosts.find(({lease}) => lease.canOrder);
  expect(holder, 'a holder').to.not.equal(undefined);
  return holder!.lease.fencingNumber;
}

function restartAll(world: LeaseWorld): void {
  world.hosts.forEach((unusedHost, i) => world.restart(i));
}

describe('OrderLease beside hosts of earlier releases', () => {
  it('orders with numbers between those of hosts that know no eras', async () => {
    const world = new LeaseWorld(3);
    const numbers = [await takeOver(world)];
    for (let i = 0; i < 3; i++) {
      numbers.push(claimAs(RULE.offset, world));
      numbers.push(await takeOver(world));
      restartAll(world);
      numbers.push(claimAs(RULE.offset, world));
      numbers.push(await takeOver(world));
    }
    expect(numbers).to.deep.equal([...numbers].sort((a, b) => a - b));
    expect(new Set(numbers).size).to.equal(numbers.length);
  });

  it('goes on above numbers with an era, also after all hosts restart', async () => {
    const world = new LeaseWorld(3);
    await takeOver(world);
    const earlier = claimAs(RULE.era, world);
    expect(await takeOver(world)).to.be.above(earlier);
    restartAll(world);
    expect(await takeOver(world)).to.be.above(earlier);
  });

  it('numbers its claim with an era behind records that it cannot decode', () => {
    const known = new LeaseLogState({
      clock: new ManualClock(),
      leaseTtlMs: LEASE_TTL_MS,
      isFirstStart: false,
      onRestored: () => {},
    });
    known.adoptTail({era: 1, end: 3, entries: [], isRestored: false});
    expect(known.nextFencing).to.equal(revisionOf({era: 1, offset: 3}));
  });

  it('is heard by its fencing number by hosts of both rules and its own', async () => {
    for (const rule of Object.values(RULE)) {
      const world = new LeaseWorld(1);
      const fencing = claimAs(rule, world);
      await world.run(100);
      const {lease} = world.hosts[0];
      expect(lease.holder?.fencing, rule).to.equal(fencing);
      lease.handleResignation(fencing, true);
      expect(lease.holder, rule).to.equal(undefined);
    }
  });

  for (const rule of Object.values(RULE)) {
    it(`numbers claims in their order, in any order of events (${rule})`, async () => {
      const steps = fc.array(
        fc.record({
          event: fc.constantFrom('claim', 'restart', 'restartAll', 'restore'),
          host: fc.integer({min: 0, max: 2}),
          ms: fc.integer({min: 0, max: TAKEOVER_MS}),
        }),
        {maxLength: 12},
      );
      await fc.assert(
        fc.asyncProperty(steps, async plan => {
          const world = new LeaseWorld(3);
          const claims = recordClaims(world);
          for (const {event, host, ms} of plan) {
            await world.run(ms);
            // A host that knows no eras does not count them.
            const isEraKnown = rule === RULE.era;
            if (event === 'claim' && (isEraKnown || world.shared.era === 1))
              claimAs(rule, world);
            if (event === 'restart') world.restart(host);
            if (event === 'restartAll') restartAll(world);
            if (event === 'restore') world.shared.restore(host + 1);
          }
          const number = await takeOver(world);
          expect(claims.at(-1)).to.equal(number);
          const sorted = [...claims].sort((a, b) => a - b);
          expect(claims).to.deep.equal(sorted);
        }),
        {numRuns: 200},
      );
    });
  }
});
