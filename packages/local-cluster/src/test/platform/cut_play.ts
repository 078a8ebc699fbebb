/** Callers of hosts that are cut off from all targets for a time. @packageDocumentation */

import {setTimeout as sleep} from 'node:timers/promises';
import {withTimeout} from '@fuchsiacleat/core';
import {PlatformWorld, WorldOptions} from '../../lib/platform_world.js';
import {KINDS, Kind, SeenAnswer, sendRequest} from './seen_answer.js';
import {LinkCut, TargetLinks} from './target_links.js';

/** Deadline of requests, at which callers give up as well, in milliseconds. */
export const DEADLINE_MS = 3_000;

/** Number of events of each stream. */
export const EVENT_COUNT = 10;
const EVENT_GAP_MS = 40;
const PLAIN_WORK_MS = 50;

/** Time between two requests of the callers of one host, in milliseconds. */
const SEND_INTERVAL_MS = 40;

/** One more request in so many is sent by a caller that leaves early. */
const LEAVING_EVERY = 2;

/** Time after which such a caller leaves, below that of any answer. */
const LEAVE_MS = 25;

const HOST_COUNT = 3;
const ENGINE_COUNT = 3;

/** Hosts, targets, and the links of the first hosts to the targets. */
export class CutWorld {
  private constructor(
    readonly world: PlatformWorld,
    /** Links of the hosts to cut; each host has its own. */
    readonly links: readonly TargetLinks[],
  ) {}

  /**
   * @param linkedCount - number of hosts that reach targets through links.
   * @param options - see {@link WorldOptions}.
   * @returns a deployment one of whose hosts may send orders.
   */
  static async start(
    linkedCount: number,
    options: WorldOptions = {},
    engineCount = ENGINE_COUNT,
  ): Promise<CutWorld> {
    const links: TargetLinks[] = [];
    const world = await PlatformWorld.start(HOST_COUNT, engineCount, {
      ...options,
      prepare: async ({workers}) => {
        const ports = workers.map(({port}) => port);
        for (let i = 0; i < linkedCount; i++)
          links.push(await TargetLinks.open(ports));
      },
      dialAddress: host =>
        links[host] && (target => links[host].addressTo(target)),
    });
    for (const worker of world.plain) worker.workMs = PLAIN_WORK_MS;
    for (const engine of world.engines) {
      engine.streamEvents = EVENT_COUNT;
      engine.eventGapMs = EVENT_GAP_MS;
    }
    await world.until(() => world.hosts.some(({canOrder}) => canOrder));
    return new CutWorld(world, links);
  }

  /** Cuts all linked hosts off from all targets. */
  async cut(how: LinkCut): Promise<void> {
    await Promise.all(this.links.map(links => links.cut(how)));
  }

  /** Ends the cut of all linked hosts. */
  async restore(): Promise<void> {
    await Promise.all(this.links.map(links => links.restore()));
  }

  /** Stops the deployment and closes the links. */
  async stop(): Promise<void> {
    await this.world.stop();
    for (const links of this.links) await links.close();
  }
}

/**
 * Callers that send a steady mix of requests, first tries only. Some callers
 * leave early, so that hosts close connections to targets and need new ones.
 */
export class SteadyCallers {
  /** Answers to callers that did not leave. */
  readonly answers: SeenAnswer[] = [];
  /** What callers that left early had seen. */
  readonly left: SeenAnswer[] = [];
  private readonly pending: Array<Promise<void>> = [];
  private readonly stopController = new AbortController();

  /**
   * @param world - the deployment.
   * @param hosts - numbers of the hosts that they call, each equally often.
   * @param headers - further headers of all requests.
   */
  constructor(
    private readonly world: PlatformWorld,
    private readonly hosts: readonly number[],
    private readonly headers: Record<string, string> = {},
  ) {}

  /** Sends requests until {@link stop} is called. */
  async run(): Promise<void> {
    const startMs = performance.now();
    for (let i = 0; !this.stopController.signal.aborted; i++) {
      for (const host of this.hosts) this.sendRound(host, i);
      await sleep(startMs + (i + 1) * SEND_INTERVAL_MS - performance.now());
    }
  }

  /** Sends no more, and waits for all answers. */
  async stop(): Promise<void> {
    this.stopController.abort();
    await Promise.all(this.pending);
  }

  /** Returns the answers of a host to requests sent in a time, in that order. */
  sentBetween(host: number, fromMs: number, toMs: number): SeenAnswer[] {
    return this.answers
      .filter(seen => seen.host === host)
      .filter(({sentMs}) => sentMs >= fromMs && sentMs < toMs)
      .sort((a, b) => a.sentMs - b.sentMs);
  }

  private sendRound(host: number, i: number): void {
    const kind = KINDS[i % KINDS.length];
    this.send(kind, `h${host} ${kind} ${i}`, host, DEADLINE_MS, this.answers);
    if (i % LEAVING_EVERY > 0) return;
    const leaving = KINDS[(i / LEAVING_EVERY) % KINDS.length];
    const id = `h${host} leaving ${leaving} ${i}`;
    this.send(leaving, id, host, LEAVE_MS, this.left);
  }

  private send(
    kind: Kind,
    id: string,
    host: number,
    giveUpMs: number,
    answers: SeenAnswer[],
  ): void {
    const options = {host, deadlineMs: DEADLINE_MS, headers: this.headers};
    const sent = withTimeout(giveUpMs, undefined, signal =>
      sendRequest(this.world, kind, id, {...options, signal}),
    );
    this.pending.push(sent.then(seen => void answers.push(seen)));
  }
}
