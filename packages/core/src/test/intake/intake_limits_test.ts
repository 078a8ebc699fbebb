import {expect} from 'chai';
import {deriveIntakeLimits} from '../../index.js';

const MAX_BODY_BYTES = 4_194_304;

describe('deriveIntakeLimits', () => {
  it('leaves descriptors for files, targets and other hosts', () => {
    for (const maxDescriptors of [400, 2_212, 10_250]) {
      const machine = {memoryMb: 602, maxDescriptors};
      const {maxConnections} = deriveIntakeLimits(machine);
      expect(maxConnections).to.be.at.most((maxDescriptors - 200) * 0.7);
    }
  });

  it('leaves memory for the program, and room for several bodies', () => {
    for (const memoryMb of [210, 350, 602]) {
      const machine = {memoryMb, maxDescriptors: undefined};
      const {accountBytes} = deriveIntakeLimits(machine);
      expect(accountBytes).to.be.at.least(4 * MAX_BODY_BYTES);
      expect(accountBytes).to.be.at.most((memoryMb / 2) * 1e6);
    }
  });
});
