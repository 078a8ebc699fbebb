import {expect} from 'chai';
import {
  ENDING,
  EndingWorld,
  KINDS,
  Play,
  SOUND,
  SeenEnd,
  describeEnds,
  wholeBody,
} from './ending_world.js';

const ENDING_PLAYS = [
  'is killed',
  'is killed while it leaves',
  'is killed while it is full',
  'is killed while another process listens at its address',
];

describe('A host that reaches a worker process through helpers, and answers without a length', () => {
  let world: EndingWorld;

  afterEach(async () => {
    await world.stop();
  });

  async function play(kind: (typeof KINDS)[number], how: Play) {
    world = await EndingWorld.start(kind, 'close', true);
    await world.untilHelped();
    return world.play(how);
  }

  for (const kind of KINDS) {
    const whole = Buffer.from(wholeBody(kind));
    const isEarly = ({answer: {body}, isWhole}: SeenEnd) =>
      isWhole && !body.equals(whole);

    for (const name of ENDING_PLAYS) {
      it(`does not end ${kind} answers as complete before their ends if it ${name}`, async () => {
        const seen = await play(kind, ENDING[name]);
        expect(describeEnds(seen.filter(isEarly))).to.deep.equal([]);
        const hasMetEnd = seen.some(({worker}) => worker !== world.otherId);
        expect(hasMetEnd, 'requests at the worker').to.equal(true);
      });
    }

    it(`does not end ${kind} answers as complete before their ends if a helper ends`, async () => {
      const seen = await play(kind, async ending => ending.endHelper());
      expect(describeEnds(seen.filter(isEarly))).to.deep.equal([]);
    });

    it(`passes on whole ${kind} answers if it goes on`, async () => {
      const seen = await play(kind, SOUND['goes on']);
      const bad = seen.filter(end => !end.isWhole || isEarly(end));
      expect(describeEnds(bad)).to.deep.equal([]);
    });
  }
});
