import {expect} from 'chai';
import {STANDING} from '../../lib/quarantine/part_record.js';
import {QuarantineWorld} from './quarantine_world.js';

const HOSTS = 5;
const never = new AbortController().signal;

/** Time in which all hosts have to know a decision. */
const SPREAD_MS = 200;

function all(standing: string): string[] {
  return Array.from({length: HOSTS}, () => standing);
}

describe('QuarantineExchange', () => {
  let world: QuarantineWorld;

  beforeEach(async () => {
    world = new QuarantineWorld(HOSTS);
    await world.clock.advance(1_000);
  });

  async function failTrial(host: number, part: string): Promise<void> {
    const trial = {requestId: 'trial', parts: [part], target: 'tt'};
    const started = world.hosts[host].exchange.startTrial(trial, never);
    await world.clock.advance(50);
    const granted = await started;
    expect(granted?.tried).to.deep.equal([part]);
    world.end(host, [part], granted?.tried);
    world.hosts[host].exchange.endTrial(trial);
    await world.clock.advance(SPREAD_MS);
  }

  it('makes a part suspect on all hosts after one has reported an end', async () => {
    world.end(3, ['bad']);
    await world.clock.advance(SPREAD_MS);
    expect(world.standings('bad')).to.deep.equal(all(STANDING.suspect));
  });

  it('quarantines a part on all hosts after ends that two hosts have seen', async () => {
    world.end(3, ['bad']);
    await world.clock.advance(SPREAD_MS);
    await failTrial(1, 'bad');
    expect(world.standings('bad')).to.deep.equal(all(STANDING.quarantined));
  });

  it('restricts no part that another host has seen answered lately', async () => {
    const {exchange} = world.hosts[4];
    exchange.recordAnswer(['shared'], world.clock.now());
    await world.clock.advance(500);
    world.end(3, ['shared', 'bad']);
    await world.clock.advance(SPREAD_MS);
    expect(world.standings('shared')).to.deep.equal(all(STANDING.watched));
    expect(world.standings('bad')).to.deep.equal(all(STANDING.suspect));
  });

  it('clears a part on all hosts once any has seen an answer', async () => {
    world.end(3, ['rare']);
    await world.clock.advance(SPREAD_MS);
    const {exchange} = world.hosts[2];
    exchange.recordAnswer(['rare'], world.clock.now());
    await world.clock.advance(SPREAD_MS);
    expect(world.standings('rare')).to.deep.equal(all(STANDING.clear));
  });

  it('grants one trial of a part over all hosts', async () => {
    world.end(3, ['bad']);
    await world.clock.advance(SPREAD_MS);
    const starts = world.hosts.map(({exchange}, i) =>
      exchange.startTrial(
        {requestId: `r${i}`, parts: ['bad'], target: `t${i}`},
        never,
      ),
    );
    await world.clock.advance(SPREAD_MS);
    const granted = (await Promise.all(starts)).filter(Boolean);
    expect(granted).to.have.lengthOf(1);
  });

  it('teaches a host that starts', async () => {
    world.end(3, ['bad']);
    await world.clock.advance(SPREAD_MS);
    await failTrial(1, 'bad');
    const started = world.startHost(2);
    expect(started.exchange.hasExchanged).to.equal(false);
    await world.clock.advance(1_000);
    expect(started.exchange.hasExchanged).to.equal(true);
    expect(world.standings('bad')).to.deep.equal(all(STANDING.quarantined));
  });

  it('is taught only by another host that has read the archive', async () => {
    world.hosts[0].isInformed = false;
    const started = world.startHost(2);
    await world.clock.advance(1_000);
    expect(started.exchange.hasExchanged).to.equal(false);
    world.hosts[0].isInformed = true;
    await world.clock.advance(1_000);
    expect(started.exchange.hasExchanged).to.equal(true);
    const restarted = world.startHost(0);
    await world.clock.advance(1_000);
    expect(restarted.exchange.hasExchanged).to.equal(false);
  });

  it('keeps a quarantine when the deciding host is replaced', async () => {
    world.end(3, ['bad']);
    await world.clock.advance(SPREAD_MS);
    await failTrial(1, 'bad');
    world.deciding = undefined;
    world.startHost(0);
    await world.clock.advance(1_000);
    world.deciding = 0;
    await world.clock.advance(1_000);
    expect(world.standings('bad')).to.deep.equal(all(STANDING.quarantined));
  });

  it('lets a host that is cut off decide for itself, and keeps its evidence', async () => {
    world.isolated.add('h4');
    world.end(4, ['bad']);
    await world.clock.advance(SPREAD_MS);
    const {exchange, ledger} = world.hosts[4];
    expect(ledger.standingOf('bad')).to.equal(STANDING.suspect);
    const trial = {requestId: 'r', parts: ['bad'], target: 'tt'};
    expect(await exchange.startTrial(trial, never)).to.equal(undefined);
    await world.clock.advance(3_000);
    await failTrial(4, 'bad');
    expect(world.standings('bad')).to.deep.equal([
      ...all(STANDING.clear).slice(1),
      STANDING.quarantined,
    ]);
    world.isolated.clear();
    await world.clock.advance(2_000);
    expect(world.standings('bad')).to.deep.equal(all(STANDING.quarantined));
  });
});
