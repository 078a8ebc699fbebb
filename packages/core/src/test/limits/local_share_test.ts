import {expect} from 'chai';
import {
  ManualClock,
  PeerShareState,
  PoolSpec,
  ShareHost,
  LocalShare,
  ShareView,
} from '../../index.js';

const SETTLE_MS = 1_000;
const SPEC: PoolSpec = {name: 'team/x', rate: 60, burst: 120, floor: 1};

class FixedView extends ShareView {
  readonly self = {host: 'a-1', zone: 'a', incarnation: 'a-1.1'};
  version = 0;
  isEstablished = true;
  isComplete = true;
  others: ShareHost[] = [];
  weights = new Map([['a', 1]]);

  override peers(): ShareHost[] {
    return this.others;
  }

  override zoneWeights(): ReadonlyMap<string, number> {
    return this.weights;
  }
}

function peer(host: string): ShareHost {
  return {host, zone: host[0], incarnation: `${host}.1`};
}

function peerState(change: Partial<PeerShareState> = {}): PeerShareState {
  return {knownIncarnation: 'a-1.1', version: 0, charge: 0, ...change};
}

describe('LocalShare', () => {
  it('withholds the burst until every peer knows this incarnation', () => {
    const view = new FixedView();
    view.others = [peer('a-2')];
    const part = new LocalShare(new ManualClock(), view, SETTLE_MS);
    const old = peerState({knownIncarnation: 'a-1.0'});
    expect(part.update(SPEC, new Map()).withheld).to.equal(Infinity);
    expect(part.update(SPEC, new Map([['a-2', old]])).withheld).to.equal(
      Infinity,
    );
    const peerStates = new Map([['a-2', peerState({charge: 7})]]);
    expect(part.update(SPEC, peerStates)).to.deep.equal({
      shape: {rate: 30, burst: 60},
      withheld: 7,
    });
  });

  it('takes over the rate of a removed host at once, its burst later', () => {
    const clock = new ManualClock();
    const view = new FixedView();
    view.others = [peer('a-2')];
    const part = new LocalShare(clock, view, SETTLE_MS);
    part.update(SPEC, new Map([['a-2', peerState()]]));
    view.others = [];
    const shapeNow = () => part.update(SPEC, new Map()).shape;
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
    const part = new LocalShare(new ManualClock(), view, SETTLE_MS);
    const rateWith = (version: number) =>
      part.update(SPEC, new Map([['b-1', peerState({version})]])).shape.rate;
    expect(rateWith(0)).to.equal(0);
    expect(rateWith(1)).to.equal(60);
  });

  it('grows after a change of zones only when all peers have applied it', () => {
    const view = new FixedView();
    view.others = [peer('b-1')];
    view.weights = new Map([['a', 1]]).set('b', 1);
    const part = new LocalShare(new ManualClock(), view, SETTLE_MS);
    const rateWith = (version: number) =>
      part.update(SPEC, new Map([['b-1', peerState({version})]])).shape.rate;
    expect(rateWith(0)).to.equal(30);
    view.weights = new Map([['a', 1]]);
    view.version = 1;
    expect(rateWith(0)).to.equal(30);
    expect(rateWith(1)).to.equal(60);
  });
});
