/** Plays sound and crashing requests at the hosts of a deployment. @packageDocumentation */

import {PlatformWorld} from './platform_world.js';

/** One request of a {@link CrashPlay}. */
export interface PlayedRequest {
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Whether workers crash on the request. */
  isCrashing: boolean;
}

/** Options of a {@link CrashPlay}. */
export interface CrashPlayOptions {
  /** How long requests are sent, and the time between them. */
  playMs: number;
  intervalMs: number;
  /** Returns the request with a number. */
  request: (i: number) => PlayedRequest;
}

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

/** Sends requests to all hosts in turn and records how they end. */
export class CrashPlay {
  readonly crashingIds = new Set<string>();
  private readonly sound: Array<{sentMs: number; status: number}> = [];
  private readonly calls: Array<Promise<void>> = [];

  /**
   * @param world - the deployment, whose workers crash on some requests.
   * @param options - see {@link CrashPlayOptions}.
   */
  constructor(
    private readonly world: PlatformWorld,
    private readonly options: CrashPlayOptions,
  ) {}

  /** Sends requests for the time of the play, and waits until all have ended. */
  async run(): Promise<void> {
    const {intervalMs, playMs} = this.options;
    const endMs = performance.now() + playMs;
    for (let i = 0; performance.now() < endMs; i++) {
      this.send(i);
      await pause(intervalMs);
    }
    await Promise.all(this.calls);
  }

  /**
   * Returns the time of a crash, in milliseconds; of the last one if there were
   * fewer.
   *
   * @param number - which crash, from 1 on.
   */
  crashMs(number: number): number {
    const crashesMs = this.world.workers
      .flatMap(worker => worker.crashesMs)
      .sort((a, b) => a - b);
    return crashesMs[number - 1] ?? crashesMs.at(-1) ?? Infinity;
  }

  /** Returns how many crashing requests began to run after a time. */
  countCrashingRuns(afterMs: number): number {
    return this.world.workers
      .flatMap(({runs}) => runs)
      .filter(({id}) => this.crashingIds.has(id))
      .filter(({startedMs}) => startedMs > afterMs).length;
  }

  /** Returns the statuses of sound requests sent after a time; 0 for none. */
  soundStatuses(afterMs: number): number[] {
    return this.sound
      .filter(({sentMs}) => sentMs > afterMs)
      .map(({status}) => status);
  }

  private send(i: number): void {
    const {body, headers, isCrashing, path} = this.options.request(i);
    const id = `play-${i}`;
    if (isCrashing) this.crashingIds.add(id);
    const sentMs = performance.now();
    const host = i % this.world.hosts.length;
    const call = this.world
      .call(path, {host, headers, body, id})
      .then(
        ({status}) => status,
        () => 0,
      )
      .then(status => {
        if (!isCrashing) this.sound.push({sentMs, status});
      });
    this.calls.push(call);
  }
}
