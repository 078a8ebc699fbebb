import {expect} from 'chai';
import {GatewayMetrics} from '../../lib/gateway/gateway_metrics.js';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {measureQuarantine} from '../../lib/quarantine/quarantine_metrics.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

describe('measureQuarantine', () => {
  it('counts parts by standing, also once a quarantine is over', async () => {
    const clock = new ManualClock();
    const ledger = new PartLedger(clock, new SilentLogger());
    const metrics = new GatewayMetrics();
    measureQuarantine(ledger, metrics);
    const text = () => metrics.registry.metrics();
    ledger.setQuarantine('bad', 30_000);
    const name = 'fuchsiacleat_gateway_restricted_parts';
    expect(await text()).to.include(`${name}{standing="quarantined"} 1`);
    expect(await text()).to.include('fuchsiacleat_gateway_quarantines_total 1');
    await clock.advance(30_000);
    expect(await text()).to.include(`${name}{standing="quarantined"} 0`);
    expect(await text()).to.include(`${name}{standing="suspect"} 1`);
  });
});
