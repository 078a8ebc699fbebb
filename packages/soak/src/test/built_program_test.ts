import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST_NAME, ROUTE_PATH} from '@fuchsiacleat/local-cluster';
import {expect} from 'chai';
import {request} from 'undici';
import {buildDeployed} from '../lib/deployed_program.js';
import {LINK_MODE} from '../lib/faulty_link.js';
import {HostProcess} from '../lib/host_process.js';
import {SOAK_KEY, SoakWorld} from '../lib/soak_world.js';
import {writeReroutes} from './reroutes.js';

const PRELOAD = new URL('./rerouting_preload.js', import.meta.url).href;

/** Time limit for hosts to be ready and for requests to be served. */
const READY_TIMEOUT_MS = 20_000;
const FAULT_MS = 3_000;
const CALLERS = 6;
const CALL_GAP_MS = 20;
const OK = 200;

/** A loopback port on which nothing listens. */
const CLOSED_PORT = 1;

/** What the helper's log shows of a fault, and how the fault comes about. */
const FAULTS: Record<
  string,
  [reason: string, (world: SoakWorld, helper: HostProcess) => void]
> = {
  'can not reach targets either': [
    'target-unreachable',
    (world, helper) => reroute(world, helper, null),
  ],
  'is refused by targets': [
    'target-refused',
    (world, helper) => reroute(world, helper, CLOSED_PORT),
  ],
  stops: ['stopping', (unusedWorld, helper) => helper.signal('SIGTERM', true)],
};

/** Replaces the ports of all targets for a host; undefined to restore them. */
function reroute(
  {folder, workers}: SoakWorld,
  {options: {name}}: HostProcess,
  port: number | null | undefined,
): void {
  const reroutes =
    port === undefined ? [] : workers.map(({link}) => [link.port, port]);
  writeReroutes(`${folder}/${name}.settings`, Object.fromEntries(reroutes));
}

/** Returns the status that a caller gets; undefined without an answer. */
async function call({url}: HostProcess): Promise<number | undefined> {
  try {
    const res = await request(`${url}${ROUTE_PATH.repeatable}`, {
      method: 'POST',
      body: 'x',
      headers: {
        host: HOST_NAME,
        'x-fuchsiacleat-attempt-id': crypto.randomUUID(),
        'x-fuchsiacleat-deadline-ms': '3000',
        'x-fuchsiacleat-key': SOAK_KEY.free,
      },
    });
    await res.body.dump();
    return res.statusCode;
  } catch {
    // The host has closed the connection.
    return undefined;
  }
}

describe('The built program without its paths to targets', () => {
  let world: SoakWorld;
  let cutOff: HostProcess;
  let helper: HostProcess;
  let args: string[];

  async function untilServed(): Promise<void> {
    const isServed = async () => (await call(cutOff)) === OK;
    expect(await world.until(isServed, READY_TIMEOUT_MS)).to.equal(true);
  }

  before(async () => {
    const built = await buildDeployed();
    args = [`--import=${PRELOAD}`, ...built];
  });

  beforeEach(async () => {
    world = await SoakWorld.start(2, {args});
    [cutOff, helper] = world.hosts;
    for (const host of world.hosts)
      await world.until(() => host.isReady(), READY_TIMEOUT_MS);
    reroute(world, cutOff, CLOSED_PORT);
    await untilServed();
  });

  afterEach(async () => {
    await world.stop();
  });

  for (const [name, [reason, begin]] of Object.entries(FAULTS)) {
    it(`goes on while its helper ${name}`, async () => {
      begin(world, helper);
      const endMs = performance.now() + FAULT_MS;
      // Resets all connections, so that hosts need new ones.
      for (const {link} of world.workers) link.setMode(LINK_MODE.open);
      const callers = Array.from({length: CALLERS}, async () => {
        while (performance.now() < endMs) {
          await call(cutOff);
          await sleep(CALL_GAP_MS);
        }
      });
      await Promise.all(callers);
      expect(cutOff.unexpectedExits).to.deep.equal([]);
      const log = await readFile(`${world.folder}/host-1.log`, 'utf8');
      expect(log).to.match(new RegExp(`event=tunnel_refused.*${reason}`));
      reroute(world, cutOff, undefined);
      await untilServed();
      expect(cutOff.unexpectedExits).to.deep.equal([]);
    });
  }
});
