import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {Kind, readDeclarations} from '@fuchsiacleat/core';
import {EXIT_CODE, runTool} from '../index.js';
import {FakeTerminal} from './fake_terminal.js';

const EXPECTED_COUNTS: Record<string, Partial<Record<Kind, number>>> = {
  saurashtra: {zone: 4, target: 12, model: 45, adapter: 65, team: 5},
  upplysingavefur: {zone: 4, target: 12, model: 25, adapter: 75, team: 5},
};

describe('example declarations', () => {
  for (const [user, sizes] of Object.entries(EXPECTED_COUNTS)) {
    const url = new URL(`../../../../examples/${user}`, import.meta.url);
    const folder = fileURLToPath(url);

    it(`of ${user} have no faults`, async () => {
      const terminal = new FakeTerminal();
      const code = await runTool(['check', folder], terminal, {});
      expect(terminal.errors).to.be.empty;
      expect(code).to.equal(EXIT_CODE.ok);
    });

    it(`of ${user} have the expected number of objects`, async () => {
      const {objects} = await readDeclarations(folder);
      for (const [kind, count] of Object.entries(sizes)) {
        const found = objects.filter(object => object.kind === kind);
        expect(found, kind).to.have.length(count);
      }
    });
  }
});
