import {expect} from 'chai';
import fc from 'fast-check';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';

const HOSTS = 2;

/** Entries of one batch, and requests that are sent while they stand. */
const ENTRIES = 60;
const REQUESTS = 40;

/** Time in which the entries are read and all targets are reported. */
const READ_MS = 1_500;

const ENGINE_HEADERS = {
  'x-fuchsiacleat-model': 'm1',
  'x-fuchsiacleat-token-count': '10,5',
};

const text = fc.oneof(
  fc.string({maxLength: 20}),
  fc.constantFrom('__proto__', 'a\r\nb', 'constructor', 'x'.repeat(5_000)),
);
const number = fc.oneof(
  fc.integer({min: -3, max: 100}),
  fc.constantFrom(-1e300, 1e300, 0.5, Number.MAX_SAFE_INTEGER),
);
/** Addresses that look like one and that no connection can be opened to. */
const NEAR_ADDRESSES = ['127.0.0.300:8080', '127.0.0.1:99999', '999.1.1.1:1'];

const oddAddress = fc.oneof(
  fc.constantFrom(...NEAR_ADDRESSES),
  fc.constantFrom('127.0.0.1:0', '127.0.0.01:80', '127.0.0.1:', '1.2.3:80'),
  fc.string({maxLength: 20}),
);

const SOUND = {
  Zone: 'a',
  Version: 'v1',
  Slots: 8,
  State: 'ready',
  ColdLeftMs: 0,
  Seq: 0,
  Models: [],
  born: 1_700_000_000_000,
};

/** Registrations without a process: the address is odd, and some fields are. */
const oddRegistration = fc
  .record(
    {
      Service: fc.constantFrom(SERVICE.engines, SERVICE.plain),
      Addr: oddAddress,
      Zone: text,
      Version: fc.oneof(text, number),
      Slots: number,
      State: fc.constantFrom('draining', 'unknown'),
      ColdLeftMs: number,
      Seq: number,
      Models: fc.array(
        fc.record({
          Name: fc.oneof(text, fc.constantFrom('m1', 'm2')),
          Version: number,
          Adapters: fc.array(text, {maxLength: 3}),
        }),
        {maxLength: 3},
      ),
      AtHand: fc.record({InMemory: fc.array(text, {maxLength: 2})}),
      born: fc.oneof(fc.integer(), fc.constantFrom(0, -1, 8e15)),
    },
    {requiredKeys: ['Service', 'Addr']},
  )
  .map(odd => ({...SOUND, ...odd}));

// One odd entry in the list of targets ended hosts, or cost a third of the callers.
describe('GatewayHost and odd registrations of other writers', () => {
  let world: PlatformWorld;
  let batch: Array<[string, object]>;

  beforeEach(async () => {
    world = await PlatformWorld.start(HOSTS, 2);
    await world.until(() => world.hosts.some(host => host.canOrder));
    const near = NEAR_ADDRESSES.flatMap(address =>
      Object.values(SERVICE).map(service => ({
        ...SOUND,
        Service: service,
        Addr: address,
      })),
    );
    const entries = [...near, ...fc.sample(oddRegistration, ENTRIES)];
    const ids = fc.sample(
      fc.string({minLength: 1, maxLength: 12}),
      entries.length,
    );
    batch = entries.map((entry, i) => [`odd-${i}-${ids[i]}`, entry]);
  });

  afterEach(async () => {
    await world.stop();
  });

  for (const [kind, path] of Object.entries(ROUTE_PATH)) {
    it(`serves every caller while they stand (${kind})`, async () => {
      for (const [id, entry] of batch)
        world.store.put(STORE_TOPIC.targets, id, entry);
      const readMs = performance.now() + READ_MS;
      await world.until(() => performance.now() > readMs);
      const isStream =
        path === ROUTE_PATH.stream || path === ROUTE_PATH.resumable;
      const headers = isStream ? ENGINE_HEADERS : {};
      const statuses = new Map<number, number>();
      for (let i = 0; i < REQUESTS; i++) {
        const res = await world.call(path, {host: i % HOSTS, headers});
        statuses.set(res.status, (statuses.get(res.status) ?? 0) + 1);
      }
      expect([...statuses]).to.deep.equal([[200, REQUESTS]]);
      const failures = world.lines.filter(line => line.includes('_failed '));
      expect(failures.filter(line => line.includes('task'))).to.deep.equal([]);
    });
  }
});
