/** Hosts before worker processes that end amid their answers. @packageDocumentation */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  PlatformWorld,
  ROUTE_PATH,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {
  ANSWER_END,
  ReceivedAnswer,
  StrictCaller,
} from '../../lib/strict_caller.js';
import {LINK_CUT, TargetLinks} from './target_links.js';
import {
  WORKER_COMMAND,
  WorkerPlan,
  WorkerProcess,
} from '../../lib/worker_process.js';

const EVENT_COUNT = 50;
const EVENT_GAP_MS = 40;
const PIECE = 'piece ';
const HOST_COUNT = 2;

/** Hosts of a world whose first host reaches no worker itself. */
const TUNNELED_HOST_COUNT = 3;

/** Time limit for such a host to choose its helpers, in milliseconds. */
const HELPER_TIMEOUT_MS = 10_000;
const HELPER_POLL_MS = 250;

/** Refuses connections. */
const REFUSING_ADDRESS = '127.0.0.1:1';
const CALLER_COUNT = 6;

/** Time from the requests to what happens to the first worker. */
const BEFORE_END_MS = 300;

/** Times in which hosts learn that a worker is full, and that it leaves. */
const LEARN_FULL_MS = 200;
const LEARN_LEAVING_MS = 900;

/** A retry budget that is not used up, although the hosts have just started. */
const AMPLE_RETRIES = {retrySlack: 10_000, retryWindowMs: 200};

/** Kind of the requests of a world. */
export type Kind = 'once' | 'stream' | 'resumable';
export const KINDS: readonly Kind[] = ['once', 'stream', 'resumable'];

/** What happens to the first worker amid its answers. */
export type Play = (world: EndingWorld) => Promise<void>;

/** Plays after which every answer has to be whole. */
export const SOUND: Readonly<Record<string, Play>> = {
  'goes on': async () => {},
  'is full and goes on': world => world.fill(),
  'leaves, and exits after its last answer': async world => {
    await world.registerLeaving();
    world.first.tell(WORKER_COMMAND.leave);
  },
  'leaves, and exits with the end of its last answer': async world => {
    await world.registerLeaving();
    world.first.tell(WORKER_COMMAND.leaveAtOnce);
  },
};

/** Plays after which no answer of the first worker may look complete. */
export const ENDING: Readonly<Record<string, Play>> = {
  'is killed': ({first}) => first.kill(),
  'is killed and started again at its port': async world => {
    await world.first.kill();
    world.workers.push(await world.first.startAgain());
  },
  'is killed while it is full': async world => {
    await world.fill();
    await world.first.kill();
  },
  'is killed while it leaves': async world => {
    await world.registerLeaving();
    world.first.tell(WORKER_COMMAND.leave);
    await sleep(EVENT_GAP_MS / 2);
    await world.first.kill();
  },
  'is killed while its address replies no more': async world => {
    await world.silenceFirst();
    await world.first.kill();
  },
  'closes the connections of its answers in order': async ({first}) =>
    first.tell(WORKER_COMMAND.closeAnswers),
  'is killed while another process listens at its address': async world => {
    world.redirectFirst();
    await world.first.kill();
  },
};

/** What a caller has seen. */
export interface SeenEnd {
  id: string;
  worker: string;
  answer: ReceivedAnswer;
  isWhole: boolean;
}

/** Ids of the workers, as they are registered. */
function workerIds(kind: Kind): readonly string[] {
  return kind === 'once' ? ['p1', 'p2'] : ['e1', 'e2'];
}

/** Hosts before two worker processes. */
export class EndingWorld {
  readonly workers: WorkerProcess[] = [];
  /** Where the hosts connect to in place of a port. */
  private readonly redirected = new Map<number, number>();
  private firstIndex = 0;
  private silent: TargetLinks | undefined;
  private world!: PlatformWorld;
  private callCount = 0;

  private constructor(
    private readonly kind: Kind,
    private readonly isTunneled: boolean,
  ) {}

  /**
   * @param kind - kind of all requests.
   * @param framing - how the workers frame their answers.
   * @param isTunneled - whether all callers are at a host that reaches the
   *     workers through other hosts only.
   */
  static async start(
    kind: Kind,
    framing: WorkerPlan['framing'],
    isTunneled = false,
  ): Promise<EndingWorld> {
    const ending = new EndingWorld(kind, isTunneled);
    const plan = {
      framing,
      eventCount: EVENT_COUNT,
      eventGapMs: EVENT_GAP_MS,
      piece: PIECE,
      port: 0,
    };
    for (const id of workerIds(kind))
      ending.workers.push(await WorkerProcess.start({...plan, id}));
    const hostCount = isTunneled ? TUNNELED_HOST_COUNT : HOST_COUNT;
    ending.world = await PlatformWorld.start(hostCount, 2, {
      plainCount: 2,
      ...AMPLE_RETRIES,
      prepare: async ({engines, plain}) => {
        const standins = kind === 'once' ? plain : engines;
        for (const [i, {port}] of ending.workers.entries())
          standins[i].registeredPort = port;
      },
      dialAddress: host => target =>
        isTunneled && host === 0 ? REFUSING_ADDRESS : ending.addressOf(target),
    });
    return ending;
  }

  /** The worker to which something happens. */
  get first(): WorkerProcess {
    return this.workers[this.firstIndex];
  }

  /** Id of the other worker. */
  get otherId(): string {
    return workerIds(this.kind)[1 - this.firstIndex];
  }

  async stop(): Promise<void> {
    await this.world.stop();
    for (const worker of this.workers) await worker.kill();
    await this.silent?.close();
  }

  /** Sends requests, and returns what their callers have seen. */
  async play(how: Play): Promise<SeenEnd[]> {
    const seen = Array.from({length: CALLER_COUNT}, () => this.call());
    await sleep(BEFORE_END_MS);
    if (this.isTunneled) this.chooseBusy();
    await how(this);
    return Promise.all(seen);
  }

  /** Lets all hosts learn that the first worker is full. */
  async fill(): Promise<void> {
    this.first.tell(WORKER_COMMAND.beFull);
    const calls = Array.from({length: 2 * HOST_COUNT}, () => this.call());
    void Promise.all(calls);
    await sleep(LEARN_FULL_MS);
  }

  async registerLeaving(): Promise<void> {
    const isPlain = this.kind === 'once';
    const {engines, plain} = this.world;
    const standin = (isPlain ? plain : engines)[this.firstIndex];
    const id = workerIds(this.kind)[this.firstIndex];
    const registration = standin.registration('draining');
    this.world.store.put(STORE_TOPIC.targets, id, registration);
    await sleep(LEARN_LEAVING_MS);
  }

  /** Leads new connections to a listener that accepts none. */
  async silenceFirst(): Promise<void> {
    const {port} = this.first;
    this.silent = await TargetLinks.open([port]);
    await this.silent.cut(LINK_CUT.hang);
    this.redirected.set(port, this.silent.portTo(port));
  }

  /** Leads new connections to the second worker. */
  redirectFirst(): void {
    this.redirected.set(
      this.first.port,
      this.workers[1 - this.firstIndex].port,
    );
  }

  /** Ends the host that passes bytes on for the first one. */
  endHelper(): void {
    const {hosts, lines} = this.world;
    const chosen = lines.findLast(line =>
      line.includes('event=helper_chosen host=host-0 '),
    )!;
    const [, address] = /helper=([\d.]+):/.exec(chosen)!;
    const started = lines.find(line => line.includes(`callers=${address}:`))!;
    const [, i] = /host=host-(\d+)/.exec(started)!;
    hosts[Number(i)].terminate();
  }

  /** Sends requests until the first host has reached both workers. */
  async untilHelped(): Promise<void> {
    const limitMs = performance.now() + HELPER_TIMEOUT_MS;
    const ids = workerIds(this.kind);
    const isReached = (id: string) =>
      this.world.lines.some(
        line =>
          line.includes('event=answer_begun host=host-0 ') &&
          line.includes(`target=${id} `),
      );
    const calls: Array<Promise<SeenEnd>> = [];
    while (!ids.every(isReached)) {
      if (performance.now() > limitMs) throw new Error('no helper was chosen');
      calls.push(this.call());
      await sleep(HELPER_POLL_MS);
    }
    await Promise.all(calls);
  }

  /** Lets things happen to the worker that has begun the latest answer. */
  private chooseBusy(): void {
    const line = this.world.lines.findLast(line =>
      line.includes('event=answer_begun'),
    )!;
    const [, number] = /target=[ep](\d)/.exec(line)!;
    this.firstIndex = Number(number) - 1;
  }

  private addressOf(target: string): string {
    const port = Number(target.slice(target.lastIndexOf(':') + 1));
    const redirected = this.redirected.get(port);
    return redirected === undefined ? target : `127.0.0.1:${redirected}`;
  }

  private async call(): Promise<SeenEnd> {
    const host = this.isTunneled ? 0 : this.callCount % HOST_COUNT;
    const id = `${this.kind}-${this.callCount++}`;
    const caller = await StrictCaller.open(this.world.callerUrl(host));
    const model = this.kind === 'once' ? undefined : 'm1';
    const answer = await caller.call({path: ROUTE_PATH[this.kind], id, model});
    caller.destroy();
    const [worker = ''] =
      answer.headers.get('x-fuchsiacleat-server-stamp') ?? [];
    const isWhole = answer.end === ANSWER_END.whole && answer.status === 200;
    return {id, worker, answer, isWhole};
  }
}

/** Returns the whole answer to a request. */
export function wholeBody(kind: Kind): string {
  const events = Array.from({length: EVENT_COUNT}, (unusedItem, i) =>
    kind === 'once' ? PIECE : `id: ${i + 1}\ndata: ${PIECE}\n\n`,
  );
  return events.join('');
}

/** Describes what callers have seen. */
export function describeEnds(seen: readonly SeenEnd[]): string[] {
  return seen.map(
    ({answer: {body, end, status}, id, worker}) =>
      `${id} of ${worker}: ${status} ${end} after ${body.length} bytes`,
  );
}
