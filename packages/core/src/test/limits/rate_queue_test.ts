import {expect} from 'chai';
import {RateQueue, Turn, TurnRequest} from '../../lib/limits/rate_queue.js';
import {turnUrgency} from '../../lib/limits/turn_rule.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const SHAPE = {rate: 1_000, burst: 1_000};
const TOKENS = 500;
const URGENT = turnUrgency(0, 500);
const PATIENT = turnUrgency(0, 5_000);

function request(id: string, change: Partial<TurnRequest> = {}): TurnRequest {
  return {
    id,
    content: id,
    urgency: PATIENT,
    objectiveInMs: 5_000,
    deadlineInMs: 25_000,
    waitedMs: 0,
    canWait: true,
    ...change,
  };
}

function emptyQueue() {
  const clock = new ManualClock();
  return {clock, queue: new RateQueue(clock, SHAPE, 0)};
}

const granted: Turn = {isGranted: true, inMs: 0, isRefused: false};

describe('RateQueue', () => {
  it('returns turns behind all requests ahead, and grants in that order', async () => {
    const {clock, queue} = emptyQueue();
    expect(queue.ask(TOKENS, request('a')).inMs).to.equal(500);
    expect(queue.ask(TOKENS, request('b')).inMs).to.equal(1_000);
    const urgent = {urgency: URGENT};
    expect(queue.ask(TOKENS, request('c', urgent)).inMs).to.equal(500);
    expect(queue.ask(TOKENS, request('a')).inMs).to.equal(1_000);
    await clock.advance(500);
    expect(queue.ask(TOKENS, request('a')).isGranted).to.equal(false);
    expect(queue.takeSpare(TOKENS)).to.equal(1_500);
    expect(queue.ask(TOKENS, request('c', urgent))).to.eql(granted);
  });

  it('orders requests by priority before their objectives', () => {
    expect(turnUrgency(0, 25_000)).to.be.below(turnUrgency(1, 100));
    expect(URGENT).to.be.below(PATIENT);
  });

  it('lets a patient request pass newer urgent ones once it has waited', () => {
    const {queue} = emptyQueue();
    const urgent = {urgency: URGENT, deadlineInMs: 12_000};
    queue.ask(TOKENS, request('urgent', urgent));
    const young = {waitedMs: 5_000, deadlineInMs: 20_000};
    expect(queue.ask(TOKENS, request('young', young)).inMs).to.equal(1_000);
    const old = {waitedMs: 15_000, deadlineInMs: 10_000};
    expect(queue.ask(TOKENS, request('old', old)).inMs).to.equal(500);
    expect(queue.ask(TOKENS, request('urgent', urgent)).inMs).to.equal(1_000);
  });

  it('forgets requests of a host that vanished after a second', async () => {
    const {clock, queue} = emptyQueue();
    for (let i = 0; i < 10; i++) queue.ask(TOKENS, request(`gone${i}`));
    expect(queue.ask(TOKENS, request('a')).inMs).to.equal(5_500);
    await clock.advance(900);
    expect(queue.ask(TOKENS, request('a')).isGranted).to.equal(false);
    await clock.advance(200);
    expect(queue.ask(TOKENS, request('a'))).to.eql(granted);
  });

  it('keeps what it promised to a refused caller from later urgent requests', async () => {
    const {clock, queue} = emptyQueue();
    queue.ask(TOKENS, request('a'));
    const urgency = turnUrgency(1, 500);
    const brief = {urgency, deadlineInMs: 1_500, objectiveInMs: 100};
    const refused = queue.ask(TOKENS, request('b', brief));
    expect(refused).to.eql({isGranted: false, inMs: 1_000, isRefused: true});
    const urgent = {urgency: URGENT};
    // Ahead of the one that waits, and behind the promise.
    const turns = ['u1', 'u2', 'u3'].map(
      id => queue.ask(TOKENS, request(id, urgent)).inMs,
    );
    expect(turns).to.eql([500, 1_500, 2_000]);
    await clock.advance(1_010);
    const again = {...brief, content: 'b', deadlineInMs: 490};
    expect(queue.ask(TOKENS, request('b2', again))).to.eql(granted);
  });

  it('keeps tokens for a caller only shortly after the time that it was told', async () => {
    const {clock, queue} = emptyQueue();
    const brief = {deadlineInMs: 600, objectiveInMs: 0, canWait: false};
    expect(
      queue.ask(TOKENS, request('a', {...brief, deadlineInMs: 700})).inMs,
    ).to.equal(500);
    await clock.advance(600);
    expect(queue.takeSpare(TOKENS)).to.be.above(0);
    await clock.advance(300);
    expect(queue.takeSpare(TOKENS)).to.equal(0);
  });

  it('refuses what can have no turn in time, and bounds the requests that wait', () => {
    const {queue} = emptyQueue();
    const tooLarge = queue.ask(SHAPE.burst + 1, request('large'));
    expect(tooLarge.isRefused).to.equal(true);
    const hurried = {deadlineInMs: 400, objectiveInMs: 400};
    expect(queue.ask(TOKENS, request('late', hurried)).isRefused).to.equal(
      true,
    );
    for (let i = 0; i < 1_100; i++) queue.ask(1, request(`w${i}`));
    expect(queue.waiterCount).to.equal(1_000);
  });
});
