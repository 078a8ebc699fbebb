import {expect} from 'chai';
import {z} from 'zod';
import {ZoneRecordType} from '../../index.js';
import {FakeHost, FakeZone, recordTypes} from './zone_fakes.js';

const START_MS = 3_000;
const OUTAGE_MS = 10_000;
const TIMEOUT_MS = 2_000;
const FLUSHED_MS = 2_000;
const DECIDED: ZoneRecordType<string> = {type: 'decided', body: z.string()};
const nothing = () => {};

/**
 * Starts a host that is alone in its zone and whose lease is extended by
 * consent.
 */
async function loneHolder(zone: FakeZone): Promise<FakeHost> {
  const host = zone.start('h1');
  await zone.advance(START_MS, nothing);
  zone.isLogDown = true;
  await zone.advance(OUTAGE_MS, nothing);
  expect(host.membership.lease.isByConsent).to.equal(true);
  return host;
}

async function decide(zone: FakeZone, {membership}: FakeHost) {
  const {signal} = new AbortController();
  const decided = membership.records.append(DECIDED, 'x', TIMEOUT_MS, signal);
  await zone.advance(TIMEOUT_MS + START_MS, nothing);
  return decided;
}

describe('EntrustedRecords', () => {
  it('rejects a record that only the host itself would keep', async () => {
    const zone = new FakeZone();
    const host = await loneHolder(zone);
    expect((await decide(zone, host)).isErr()).to.equal(true);
    expect(host.membership.records.size).to.equal(0);
  });

  it('keeps the records of a host that is alone in its zone and stops', async () => {
    const zone = new FakeZone();
    zone.start('elsewhere', 'b');
    const host = await loneHolder(zone);
    expect((await decide(zone, host)).isOk()).to.equal(true);
    host.stop();
    zone.isLogDown = false;
    await zone.advance(FLUSHED_MS, nothing);
    expect(recordTypes(zone)).to.include('decided');
  });

  it('appends directly to the log if a host is alone and reaches the log', async () => {
    const zone = new FakeZone();
    const host = await loneHolder(zone);
    zone.isLogDown = false;
    expect((await decide(zone, host)).isOk()).to.equal(true);
    expect(recordTypes(zone)).to.include('decided');
  });
});
