/** Choice among helper hosts. @packageDocumentation */

import {SocketAddress, parseSocketAddress} from '../net/socket_address.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {HelperHost} from './path_messages.js';

/** Time for which a helper is avoided after a first failure, and the longest. */
const FIRST_AVOID_MS = 250;
const MAX_AVOID_MS = 8_000;

/**
 * A connection over a helper may also fail because of its target; a helper that
 * has connected another one within this time is not blamed.
 */
const PROVEN_LIFETIME_MS = 1_000;

/** Least number of helpers to choose from, as any of them may restart. */
const MIN_CHOICE = 2;

/** Load of a helper for each target that this host reaches through it. */
const LOAD_PER_TARGET = 0.02;

/** A helper host, with what this host knows about it. */
export interface KnownHelper extends HelperHost {
  readonly address: SocketAddress;
}

interface Standing {
  avoidUntilMs: number;
  failures: number;
  provenMs: number;
}

/** Chooses helpers by zone and load, and avoids those that failed. */
export class HelperChoice {
  private helpers: readonly KnownHelper[] = [];
  private readonly standings = new Map<string, Standing>();
  /** Helper of each target, by the id of the target. */
  private readonly assigned = new Map<string, KnownHelper>();

  /**
   * @param clock - measures how long helpers are avoided.
   * @param random - breaks ties.
   * @param logger - receives the choices and failures.
   * @param zone - zone of this host.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly zone: string,
  ) {}

  /** Replaces the helpers. Entries without a usable address are dropped. */
  update(hosts: readonly HelperHost[]): void {
    this.helpers = hosts.flatMap(host => {
      const address = parseSocketAddress(host.tunnel);
      return address === undefined ? [] : [{...host, address}];
    });
  }

  /** Number of known helpers, usable or not. */
  get count(): number {
    return this.helpers.length;
  }

  /** Whether no helper is known, usable or not. */
  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** Whether there is a helper that is not avoided. */
  get hasUsable(): boolean {
    return this.helpers.some(helper => this.isUsable(helper));
  }

  /**
   * Returns the helper for connections to a target. It stays the same while it
   * is usable, so that connections can be used again.
   *
   * @param target - id of the target.
   */
  helperOf(target: string): KnownHelper | undefined {
    const known = this.assigned.get(target);
    if (known !== undefined && this.isListed(known) && this.isUsable(known))
      return known;
    const chosen = this.choose();
    if (chosen === undefined) {
      this.assigned.delete(target);
      return undefined;
    }
    const {host, load, zone} = chosen;
    if (this.targetsOf(host) === 0)
      this.logger.info('helper_chosen', {helper: host, zone, load});
    this.assigned.set(target, chosen);
    return chosen;
  }

  /** Forgets the helper of a target that is reached directly again. */
  release(target: string): void {
    this.assigned.delete(target);
  }

  /**
   * Returns helpers of different zones where possible, as those of one zone may
   * have lost their paths together.
   *
   * @param count - most helpers to return.
   * @param except - names of helpers to leave out.
   */
  forChecks(
    count: number,
    except: ReadonlySet<string> = new Set(),
  ): KnownHelper[] {
    const usable = this.helpers.filter(
      helper => this.isUsable(helper) && !except.has(helper.host),
    );
    const chosen: KnownHelper[] = [];
    while (chosen.length < count && usable.length > 0) {
      const zones = new Set(chosen.map(({zone}) => zone));
      const other = usable.filter(({zone}) => !zones.has(zone));
      const near = other.filter(({zone}) => zone === this.zone);
      const from = [near, other, usable].find(({length}) => length > 0)!;
      const helper = this.random.pick(from);
      usable.splice(usable.indexOf(helper), 1);
      chosen.push(helper);
    }
    return chosen;
  }

  /** Records that a helper has connected this host to a target. */
  recordSuccess(host: string): void {
    const provenMs = this.clock.now();
    this.standings.set(host, {avoidUntilMs: -Infinity, failures: 0, provenMs});
  }

  /**
   * Records that a helper has not connected this host.
   *
   * @param host - name of the helper.
   * @param isCertain - whether the target can't be the cause.
   * @param reason - for the log.
   * @returns whether the helper is avoided from now on.
   */
  recordFailure(host: string, isCertain: boolean, reason: string): boolean {
    const nowMs = this.clock.now();
    const known = this.standings.get(host);
    const {failures = 0, provenMs = -Infinity} = known ?? {};
    if (!isCertain && nowMs - provenMs < PROVEN_LIFETIME_MS) return false;
    // Connections that were set up together fail together.
    if (known !== undefined && nowMs < known.avoidUntilMs) return false;
    const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** failures);
    const avoidUntilMs = nowMs + avoidMs;
    this.standings.set(host, {avoidUntilMs, failures: failures + 1, provenMs});
    this.logger.info('helper_avoided', {
      helper: host,
      avoid_ms: avoidMs,
      reason,
    });
    return true;
  }

  private isUsable({host}: KnownHelper): boolean {
    const standing = this.standings.get(host);
    return standing === undefined || this.clock.now() >= standing.avoidUntilMs;
  }

  private isListed({host, tunnel}: KnownHelper): boolean {
    return this.helpers.some(
      helper => helper.host === host && helper.tunnel === tunnel,
    );
  }

  /** Chooses the less loaded of two random helpers, near ones first. */
  private choose(): KnownHelper | undefined {
    const usable = this.helpers.filter(helper => this.isUsable(helper));
    const near = usable.filter(({zone}) => zone === this.zone);
    const far = usable.filter(({zone}) => zone !== this.zone);
    const choice = [
      ...near,
      ...far.slice(0, Math.max(0, MIN_CHOICE - near.length)),
    ];
    if (choice.length < 2) return choice.at(0);
    const first = this.random.pick(choice);
    const others = choice.filter(helper => helper !== first);
    const second = this.random.pick(others);
    return this.loadOf(second) < this.loadOf(first) ? second : first;
  }

  private loadOf({host, load}: KnownHelper): number {
    return load + this.targetsOf(host) * LOAD_PER_TARGET;
  }

  /** Returns the number of targets that this host reaches over a helper. */
  private targetsOf(host: string): number {
    let count = 0;
    for (const helper of this.assigned.values()) {
      if (helper.host === host) count += 1;
    }
    return count;
  }
}
