import {setTimeout as sleep} from 'node:timers/promises';
import {
  Authority,
  CONSENT_TTL_MS,
  ENGINE_ERROR,
  FencedOrder,
  HttpEngineClient,
  LEASE_MARGIN_MS,
  LEASE_TTL_MS,
  MAX_ORDER_DURATION_MS,
  Order,
} from '@fuchsiacleat/core';
import {NO_FAULTS} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {LocalCluster} from '../../index.js';

const POLL_MS = 10;
const HOSTS = ['a-1', 'a-2', 'a-3'];
const LOAD: Order = {kind: 'load', model: 'drafter', version: 'drafter-1'};

/** Longer than the lifetimes of a lease and of all consents to it. */
const CONSENT_OUTAGE_MS = LEASE_TTL_MS + CONSENT_TTL_MS + LEASE_MARGIN_MS;

/** Observes which host may give orders in a zone. */
class LeaseObserver {
  constructor(readonly cluster: LocalCluster) {}

  /** @returns the only host with authority, if there is one. */
  holder(): string | undefined {
    const names = HOSTS.filter(name => this.authority(name) !== undefined);
    expect(names.length, `holders at once: ${names}`).to.be.at.most(1);
    return names[0];
  }

  authority(host: string): Authority | undefined {
    const daemon = this.cluster.daemons.get(host);
    return daemon?.authority.check().unwrapOr(undefined);
  }

  /** Waits for a lease holder that satisfies a condition. */
  async waitForHolder(condition: (holder: string) => boolean): Promise<string> {
    for (;;) {
      const holder = this.holder();
      if (holder !== undefined && condition(holder)) return holder;
      await sleep(POLL_MS);
    }
  }

  async waitForNoHolder(): Promise<void> {
    while (this.holder() !== undefined) await sleep(POLL_MS);
  }

  /** Checks that a host holds the lease continuously for a time. */
  async expectHolder(holder: string, durationMs: number): Promise<void> {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      expect(this.holder()).to.equal(holder);
      await sleep(POLL_MS);
    }
  }

  /** Waits until every host is connected to all others. */
  async waitForMesh(): Promise<void> {
    await this.cluster.awaitStatus(({zone, host, peers}) =>
      HOSTS.every(
        name => zone !== 'a' || name === host || peers.includes(name),
      ),
    );
  }

  kill(host: string): void {
    this.cluster.daemon(host).kill();
    this.cluster.daemons.delete(host);
  }
}

describe('promise: replicas-as-decided', () => {
  let zone: LeaseObserver;

  beforeEach(async () => {
    const cluster = await LocalCluster.start({
      hosts: [
        ...HOSTS.map(name => ({name, zone: 'a'})),
        {name: 'b-1', zone: 'b'},
      ],
      engines: [
        {name: 'checks', zone: 'a'},
        {name: 'ignores', zone: 'a', fencing: false},
      ],
    });
    zone = new LeaseObserver(cluster);
    await zone.waitForMesh();
  });

  afterEach(() => zone.cluster.kill());

  function engine(name: string): HttpEngineClient {
    return new HttpEngineClient(zone.cluster.engines.get(name)!.url);
  }

  function orderOf(id: string, fencing: number, order: Order): FencedOrder {
    return {id, fencing, order};
  }

  it('hands over the lease at once on a planned stop', async () => {
    const first = await zone.waitForHolder(() => true);
    const {fencing, validUntilMs} = zone.authority(first)!;
    const stopped = zone.cluster.daemon(first).stop();
    expect(zone.authority(first)).to.equal(undefined);
    const next = await zone.waitForHolder(holder => holder !== first);
    const taken = zone.authority(next)!;
    expect(taken.fencing).to.be.above(fencing);
    expect(taken.heldSinceMs).to.be.below(validUntilMs);
    await stopped;
    zone.cluster.daemons.delete(first);
  });

  it('waits for the end of the lease of a dead holder', async () => {
    const first = await zone.waitForHolder(() => true);
    const {validUntilMs, fencing} = zone.authority(first)!;
    zone.kill(first);
    const next = await zone.waitForHolder(holder => holder !== first);
    const taken = zone.authority(next)!;
    expect(taken.fencing).to.be.above(fencing);
    expect(taken.heldSinceMs).to.be.above(validUntilMs);
    // Targets without fencing checks may still be executing its last order.
    expect(taken.orderableFromMs).to.be.at.least(
      validUntilMs + MAX_ORDER_DURATION_MS,
    );
  });

  it('refuses orders of a paused holder at any step', async () => {
    const {signal} = new AbortController();
    const first = await zone.waitForHolder(() => true);
    const old = zone.authority(first)!;
    // Sent before the pause: a slow load that takes longer than the lease.
    zone.cluster.weightStore.faults = {
      ...zone.cluster.weightStore.faults,
      delayMs: LEASE_TTL_MS + LEASE_MARGIN_MS,
    };
    const sent = engine('checks').order(
      orderOf('sent', old.fencing, LOAD),
      signal,
    );
    zone.cluster.clocks.get(first)!.pause();
    const next = await zone.waitForHolder(holder => holder !== first);
    const taken = zone.authority(next)!;
    const noop = orderOf('noop', taken.fencing, {kind: 'noop'});
    expect((await engine('checks').order(noop, signal)).isOk()).to.equal(true);
    zone.cluster.clocks.get(first)!.resume();
    // The holder was paused before it checked its authority.
    expect(zone.authority(first)).to.equal(undefined);
    // The holder was paused between the check and the order.
    zone.cluster.weightStore.faults = NO_FAULTS;
    const late = orderOf('late', old.fencing, LOAD);
    const refused = await engine('checks').order(late, signal);
    expect(refused._unsafeUnwrapErr().type).to.equal(ENGINE_ERROR.fenced);
    // A target without fencing checks accepts the order. The next holder sends
    // no order there until this one must have ended, then reads the inventory.
    expect((await engine('ignores').order(late, signal)).isOk()).to.equal(true);
    expect(taken.orderableFromMs).to.be.at.least(
      old.validUntilMs + MAX_ORDER_DURATION_MS,
    );
    const inventory = await engine('ignores').inventory(signal);
    expect(inventory._unsafeUnwrap().residents).to.have.length(1);
    expect((await sent).isOk()).to.equal(true);
    expect(zone.cluster.engines.get('checks')!.orders).to.have.length(2);
  });

  it('keeps the lease without the log while every member consents', async () => {
    const first = await zone.waitForHolder(() => true);
    zone.cluster.partitions.partitionZone('a');
    await zone.expectHolder(first, CONSENT_OUTAGE_MS);
    // One member stops consenting: no host may give orders.
    const other = HOSTS.find(name => name !== first)!;
    zone.cluster.partitions.partitionPeers(first, other);
    await zone.waitForNoHolder();
    // The log is reachable again: exactly one host gets the lease.
    zone.cluster.partitions.heal();
    await zone.waitForHolder(() => true);
  });

  it('moves from a holder that is isolated from all others', async () => {
    const first = await zone.waitForHolder(() => true);
    zone.cluster.partitions.partitionLog(first);
    for (const name of HOSTS) {
      if (name !== first) zone.cluster.partitions.partitionPeers(first, name);
    }
    const next = await zone.waitForHolder(holder => holder !== first);
    zone.cluster.partitions.heal();
    await zone.waitForMesh();
    expect(await zone.waitForHolder(() => true)).to.equal(next);
  });

  it('keeps the lease if the log loses responses', async () => {
    const first = await zone.waitForHolder(() => true);
    const {log} = zone.cluster;
    log.faults = {...log.faults, loseAnswers: 10};
    await zone.expectHolder(first, LEASE_TTL_MS + LEASE_MARGIN_MS);
  });
});
