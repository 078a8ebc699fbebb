import {COPY_TIME, CopyTime, FAULTY_ANSWER} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  CallerResponse,
  PlatformWorld,
  ROUTE_PATH,
} from '../../lib/platform_world.js';

const ROUNDS = 12;

/** Longer than the pause before a request that all workers refused is sent again. */
const WORK_MS = 30;

/** Statuses that say that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Refusals that a host passes on to the caller in the end. */
const LASTING_REFUSALS = 12;

// A second copy of a refusal was taken for the answer to the next send of the same request.
describe('GatewayHost and second copies of responses', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    // Refusals must not use up the retries of the rounds that follow.
    const retries = {retrySlack: 50_000, retryWindowMs: 0};
    world = await PlatformWorld.start(1, 1, retries);
    for (const worker of world.plain) worker.workMs = WORK_MS;
  });

  afterEach(async () => {
    await world.stop();
  });

  const copyAll = (time: CopyTime) => {
    for (const worker of world.plain) worker.copyTime = () => time;
  };
  const copyRefusals = (time: CopyTime) => {
    for (const worker of world.plain) {
      worker.copyTime = () =>
        worker.faultyAnswers.length > 0 ? time : undefined;
    }
  };
  const refuseNext = (times: number) => {
    for (const {faultyAnswers} of world.plain) {
      faultyAnswers.length = 0;
      for (let i = 0; i < times; i++) faultyAnswers.push(FAULTY_ANSWER.refuse);
    }
  };
  const countCopies = () =>
    world.plain.reduce((sum, {secondCopies}) => sum + secondCopies.sent, 0);
  const checkRuns = (id: string, res: CallerResponse) => {
    const runs = world.countRuns(id);
    expect(runs, `runs of ${id}, answered ${res.status}`).to.be.at.most(1);
    if (NOT_RUN_STATUSES.includes(res.status))
      expect(runs, `runs of ${id}, refused`).to.equal(0);
    if (res.status === 200) expect(res.body).to.equal(`done ${id}`);
  };

  for (const time of Object.values(COPY_TIME)) {
    it(`runs a refused request once that is sent again (${time} copies)`, async () => {
      copyRefusals(time);
      for (let i = 0; i < ROUNDS; i++) {
        refuseNext(1);
        const id = `again-${time}-${i}`;
        checkRuns(id, await world.call(ROUTE_PATH.once, {id}));
      }
      expect(countCopies()).to.be.above(0);
    });

    it(`does not refuse a request that its caller repeats (${time} copies)`, async () => {
      copyRefusals(time);
      for (let i = 0; i < ROUNDS / 4; i++) {
        refuseNext(LASTING_REFUSALS);
        const id = `repeated-${time}-${i}`;
        const first = await world.call(ROUTE_PATH.once, {id});
        checkRuns(id, first);
        refuseNext(0);
        checkRuns(id, await world.call(ROUTE_PATH.once, {id}));
      }
      expect(countCopies()).to.be.above(0);
    });
  }

  it('gives no caller the answer of an earlier run', async () => {
    copyAll(COPY_TIME.late);
    for (let i = 0; i < ROUNDS; i++) {
      const id = `same-${Math.floor(i / 3)}`;
      const body = `body ${i}`;
      const before = world.countRuns(id);
      const res = await world.call(ROUTE_PATH.repeatable, {id, body});
      const runs = world.plain.flatMap(worker => worker.runs);
      const own = runs.filter(run => run.body === body);
      if (res.status === 200) expect(own.length).to.be.at.least(1);
      expect(world.countRuns(id)).to.be.above(before);
    }
    expect(countCopies()).to.be.above(0);
  });
});
