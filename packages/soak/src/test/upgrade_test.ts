import {readFile, readdir} from 'node:fs/promises';
import {join} from 'node:path';
import {expect} from 'chai';
import {buildDeployed} from '../lib/deployed_program.js';
import {buildEarlier, hasCommit} from '../lib/earlier_build.js';
import {SoakResult, runSoak} from '../lib/soak_run.js';

const HOSTS = 3;

/** Shortens the pauses between two holders. */
const LEASE_MS = 500;

/** Time for the builds and for all runs, which are played side by side. */
const RUNS_TIMEOUT_MS = 120_000;

/** This tree. */
const NEW = 'new';

/** Its orders have the offset of the claim as their number. */
const OFFSET_NUMBERS = '869c408';

/** Its orders have era and offset of the claim as their number. */
const ERA_NUMBERS = 'cc4675e';

const EARLIER = [OFFSET_NUMBERS, ERA_NUMBERS];

/** Events of hosts that cannot read what others have sent or written. */
const UNREAD_EVENTS = [
  'configuration_unreadable',
  'operator_record_ignored',
  'software_versions_lost',
  'task_failed',
];

/** Returns the lines of those events in the logs of a run. */
async function findUnread(folder: string): Promise<string[]> {
  const names = await readdir(folder);
  const logs = names.filter(name => name.endsWith('.log'));
  const texts = await Promise.all(
    logs.map(name => readFile(join(folder, name), 'utf8')),
  );
  return texts
    .flatMap(text => text.split('\n'))
    .filter(line => UNREAD_EVENTS.some(event => line.includes(event)));
}

/** Builds of which the second replaces the first. */
const ROLLS = [
  [OFFSET_NUMBERS, NEW],
  [NEW, OFFSET_NUMBERS],
  [ERA_NUMBERS, NEW],
] as const;

describe('Hosts of two builds', () => {
  let results: SoakResult[];

  before(async function () {
    this.timeout(RUNS_TIMEOUT_MS);
    for (const commit of EARLIER) {
      if (await hasCommit(commit)) continue;
      process.stdout.write(`skipped: this clone has no commit ${commit}\n`);
      this.skip();
    }
    const builds = new Map([[NEW, await buildDeployed()]]);
    for (const commit of EARLIER)
      builds.set(commit, await buildEarlier(commit));
    results = await Promise.all(
      ROLLS.map(([from, to]) =>
        runSoak({
          seed: 1,
          durationMs: 0,
          processes: HOSTS,
          hasFaults: false,
          leaseMs: LEASE_MS,
          upgrade: {from: builds.get(from)!, to: builds.get(to)!},
        }),
      ),
    );
  });

  ROLLS.forEach(([from, to], i) => {
    it(`keep all promises while ${to} replaces ${from}`, () => {
      const {folder, violations} = results[i];
      expect(violations, `logs in ${folder}`).to.deep.equal([]);
    });

    it(`read what the others wrote while ${to} replaces ${from}`, async () => {
      expect(await findUnread(results[i].folder)).to.deep.equal([]);
    });
  });
});
