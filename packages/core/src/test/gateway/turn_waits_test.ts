import {expect} from 'chai';
import {TeamConfig} from '../../lib/gateway/deployment.js';
import {
  Loan,
  LoanRequest,
  TeamQuotas,
  TokenLoanClient,
} from '../../lib/gateway/team_quotas.js';
import {
  EndedTurn,
  TURN_END,
  TurnObserver,
} from '../../lib/gateway/turn_observer.js';
import {turnUrgency} from '../../lib/limits/turn_rule.js';
import {BORROW_TOKENS} from '../../lib/residency/residency_messages.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {teamConfig} from './gateway_fixtures.js';

const SLACK = {fraction: 0, tokens: 0, windowMs: 8_000};
const TEAM = teamConfig({tokensPerSecond: 1_000, burstTokens: 1_000});
const TOKENS = 500;
const MAX_WAITS = 500;

/** Replies to each request for tokens by a function of the test. */
class PlayedLender extends TokenLoanClient {
  override readonly hostCount = 1;
  readonly requests: LoanRequest[] = [];

  constructor(
    private readonly reply: (request: LoanRequest) => Loan | undefined,
  ) {
    super();
  }

  override async borrow(request: LoanRequest): Promise<Loan | undefined> {
    this.requests.push(request);
    return this.reply(request);
  }
}

class RecordingTurns extends TurnObserver {
  readonly ended: EndedTurn[] = [];

  override turnEnded(turn: EndedTurn): void {
    this.ended.push(turn);
  }
}

function hostWorld(reply: (request: LoanRequest) => Loan | undefined) {
  const clock = new ManualClock();
  const lender = new PlayedLender(reply);
  const turns = new RecordingTurns();
  const quotas = new TeamQuotas(clock, lender, SLACK, turns);
  const take = (
    id: string,
    objectiveMs = 5_000,
    signal = new AbortController().signal,
    team: TeamConfig = TEAM,
  ) =>
    quotas.take(team, TOKENS, 0, signal, {
      urgency: turnUrgency(0, objectiveMs),
      arrivedMs: clock.now(),
      objectiveMs: clock.now() + objectiveMs,
      deadlineMs: clock.now() + 25_000,
      digest: () => id,
    });
  return {clock, lender, quotas, take, turns};
}

describe('Requests that wait for tokens of their team', () => {
  it('take one call, without a turn, within the rate', async () => {
    const {lender, take} = hostWorld(({wantedTokens}) => ({
      tokens: wantedTokens,
      waitMs: 0,
    }));
    await take('a');
    expect(lender.requests.map(({turn}) => turn)).to.eql([undefined]);
  });

  it('take their turns in order on a host without a lender', async () => {
    const {clock, take} = hostWorld(() => undefined);
    const order: string[] = [];
    const start = (id: string, objectiveMs: number) =>
      void take(id, objectiveMs).then(() => order.push(id));
    start('patient', 5_000);
    await clock.advance(10);
    start('urgent', 500);
    await clock.advance(2_000);
    expect(order).to.eql(['urgent', 'patient']);
  });

  it('end their wait when a new lender grants them', async () => {
    let loan: Loan | undefined = {tokens: 0, waitMs: 9_000, isRefused: false};
    const {clock, take} = hostWorld(() => loan);
    const taken = take('a');
    await clock.advance(1_000);
    loan = {tokens: TOKENS, waitMs: 0};
    await clock.advance(400);
    expect(await taken).to.equal(undefined);
  });

  it('wait as a lender of an older version would have them', async () => {
    let loan: Loan = {tokens: 0, waitMs: 700};
    const {clock, take} = hostWorld(() => loan);
    const near = take('a');
    await clock.advance(300);
    loan = {tokens: 0, waitMs: 20_000};
    await clock.advance(400);
    expect(await near).to.equal(20_000);
  });

  it('are bounded in number; further ones are refused with their turn', async () => {
    const {clock, lender, quotas, take, turns} = hostWorld(({turn}) => ({
      tokens: 0,
      waitMs: 2_000,
      isRefused: turn?.canWait === false,
    }));
    const takes = Array.from({length: MAX_WAITS + 1}, (unused, i) =>
      take(`${i}`),
    );
    expect(await takes[MAX_WAITS]).to.equal(2_000);
    expect(turns.ended.map(({end}) => end)).to.eql([TURN_END.full]);
    expect([...quotas.waitingTokens()]).to.eql([
      [TEAM.name, TOKENS * MAX_WAITS],
    ]);
    const asked = lender.requests.length;
    quotas.stopWaiting();
    await clock.advance(1_000);
    await Promise.all(takes);
    expect(lender.requests).to.have.lengthOf(asked);
    expect(quotas.waitingTokens().size).to.equal(0);
  });
});

describe('Requests for tokens between hosts of two versions', () => {
  it('are understood without the fields about turns', () => {
    const request = {team: 't', neededTokens: 1, wantedTokens: 2};
    expect(BORROW_TOKENS.body.parse(request)).to.eql(request);
    const loan = {tokens: 0, waitMs: 5};
    expect(BORROW_TOKENS.event.parse(loan)).to.eql(loan);
  });
});
