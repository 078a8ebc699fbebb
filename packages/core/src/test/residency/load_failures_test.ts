import {expect} from 'chai';
import {LoadFailures} from '../../lib/residency/load_failures.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

describe('LoadFailures', () => {
  let clock: ManualClock;
  let failures: LoadFailures;

  beforeEach(() => {
    clock = new ManualClock();
    failures = new LoadFailures(clock, new SilentLogger());
  });

  const end = (address: string) => failures.recordEnd('s', 'm', address);
  const leftMs = () => failures.suspendedLeftMs('s', 'm');

  it('suspends a model after targets at two addresses ended', () => {
    end('a');
    expect(leftMs()).to.equal(0);
    end('b');
    expect(leftMs()).to.be.above(0);
    expect(failures.suspendedLeftMs('s', 'other')).to.equal(0);
  });

  it('counts a target that keeps ending once', async () => {
    for (let i = 0; i < 10; i++) {
      end('a');
      await clock.advance(3_000);
    }
    expect(leftMs()).to.equal(0);
  });

  it('forgets ends once a target serves the model, or after a while', async () => {
    end('a');
    failures.recordLoaded('s', 'm');
    end('b');
    expect(leftMs()).to.equal(0);
    await clock.advance(200_000);
    end('a');
    expect(leftMs()).to.equal(0);
  });

  it('doubles the suspension until a target serves the model', async () => {
    end('a');
    end('b');
    const firstMs = leftMs();
    await clock.advance(firstMs);
    expect(leftMs()).to.equal(0);
    end('c');
    end('a');
    expect(leftMs()).to.equal(2 * firstMs);
  });
});
