import {expect} from 'chai';
import {
  ENDING,
  EndingWorld,
  KINDS,
  SOUND,
  describeEnds,
  wholeBody,
} from './ending_world.js';

// The operating system closes the connections of a killed process in order.
describe('GatewayHosts and a worker process whose answers have no length', () => {
  let world: EndingWorld;

  afterEach(async () => {
    await world.stop();
  });

  for (const kind of KINDS) {
    const whole = Buffer.from(wholeBody(kind));

    for (const [name, play] of Object.entries(ENDING)) {
      it(`do not end ${kind} answers as complete before their ends if it ${name}`, async () => {
        world = await EndingWorld.start(kind, 'close');
        const seen = await world.play(play);
        const early = seen.filter(
          ({answer: {body}, isWhole}) => isWhole && !body.equals(whole),
        );
        expect(describeEnds(early)).to.deep.equal([]);
        const untouched = seen.filter(({worker}) => worker === world.otherId);
        expect(
          describeEnds(untouched.filter(({isWhole}) => !isWhole)),
        ).to.deep.equal([]);
      });
    }

    for (const [name, play] of Object.entries(SOUND)) {
      it(`pass on whole ${kind} answers if it ${name}`, async () => {
        world = await EndingWorld.start(kind, 'close');
        const seen = await world.play(play);
        const bad = seen.filter(
          ({answer: {body}, isWhole}) => !isWhole || !body.equals(whole),
        );
        expect(describeEnds(bad)).to.deep.equal([]);
      });
    }
  }
});
