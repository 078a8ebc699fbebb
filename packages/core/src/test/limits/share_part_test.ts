import {expect} from 'chai';
import {
  ManualClock,
  PeerClaim,
  PoolSpec,
  ShareHost,
  SharePart,
  ShareView,
} from '../../index.js';

const SETTLE_MS = 1_000;
const SPEC: PoolSpec = {name: 'team/x', rate: 60, burst: 120, floor: 1};

class FixedView extends ShareView {
  readonly self = {host: 'a-1', zone: 'a', incarnation: 'a-1.1'};
  version = 0;
  established = true;
  isComplete = true;
  others: ShareHost[] = [];
  weights = new Map([['a', 1]]);

  override peers(): ShareHost[] {
    return this.others;
  }

  override zones(): ReadonlyMap<string, number> {
    return this.weights;
  }
}

function peer(host: string): ShareHost {
  return {host, zone: host[0], incarnation: `${host}.1`};
}

function claim(change: Partial<PeerClaim> = {}): PeerClaim {
  return {countsIncarnation: 'a-1.1', version: 0, charge: 0, ...change};
}

describe('LocalShare', () => {
  it('withholds the burst until every peer knows this incarnation', () => {
    const view = new FixedView();
    view.others = [peer('a-2')];
    const part = new SharePart(new ManualClock(), view, SETTLE_MS);
    const old = claim({countsIncarnation: 'a-1.0'});
    expect(part.now(SPEC, new Map()).withheld).to.equal(Infinity);
    expect(part.now(SPEC, new Map([['a-2', old]])).withheld).to.equal(Infinity);
    const claims = new Map([['a-2', claim({charge: 7})]]);
    expect(part.now(SPEC, claims)).to.deep.equal({
      shape: {rate: 30, burst: 60},
      withheld: 7,
    });
  });

  it('takes over the rate of a removed host at once, its burst later', () => {
    const clock = new ManualClock();
    const view = new FixedView();
    view.others = [peer('a-2')];
    const part = new SharePart(clock, view, SETTLE_MS);
    part.now(SPEC, new Map([['a-2', claim()]]));
    view.others = [];
    const shapeNow = () => part.now(SPEC, new Map()).shape;
    expect(shapeNow()).to.deep.equal({rate: 60, burst: 60});
    clock.pause(SETTLE_MS);
    expect(shapeNow()).to.deep.equal({rate: 60, burst: 120});
    view.others = [peer('a-2')];
    expect(shapeNow()).to.deep.equal({rate: 30, burst: 60});
  });

  it('has no share while a peer has an older version of the zones', () => {
    const view = new FixedView();
    view.others = [peer('b-1')];
    view.version = 1;
    const part = new SharePart(new ManualClock(), view, SETTLE_MS);
    const rateWith = (version: number) =>
      part.now(SPEC, new Map([['b-1', claim({version})]])).shape.rate;
    expect(rateWith(0)).to.equal(0);
    expect(rateWith(1)).to.equal(60);
  });

  it('grows after a change of zones only when all peers have applied it', () => {
    const view = new FixedView();
    view.others = [peer('b-1')];
    view.weights = new Map([['a', 1]]).set('b', 1);
    const part = new SharePart(new ManualClock(), view, SETTLE_MS);
    const rateWith = (version: number) =>
      part.now(SPEC, new Map([['b-1', claim({version})]])).shape.rate;
    expect(rateWith(0)).to.equal(30);
    view.weights = new Map([['a', 1]]);
    view.version = 1;
    expect(rateWith(0)).to.equal(30);
    expect(rateWith(1)).to.equal(60);
  });
});
