/** Counts tunnels and logs those that fail. @packageDocumentation */

import {LogFields, Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {TunnelBreak} from './tunnel.js';
import {TunnelRefusal} from './tunnel_refusal.js';

/** Least time between two log lines about the same event, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Names a tunnel in the log. */
export interface TunnelLabel {
  /** Address of the target; empty if none was named. */
  target: string;
  /** Address of the host that asks for it, as that host states it. */
  from: string | undefined;
}

/** Numbers of tunnels. */
export interface TunnelCounts {
  /** Tunnels that have been established. */
  opened: number;
  /** Refusals by reason. */
  readonly refused: Map<TunnelRefusal, number>;
  /** Tunnels that did not end in order. */
  broken: number;
}

/** Counts tunnels, and logs refused and broken ones at a bounded rate. */
export class TunnelLog {
  readonly counts: TunnelCounts = {opened: 0, refused: new Map(), broken: 0};
  private readonly lines = new Map<
    string,
    {writtenMs: number; omitted: number}
  >();

  /**
   * @param clock - bounds the rate.
   * @param logger - receives the lines.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records an established tunnel. */
  recordOpened(): void {
    this.counts.opened += 1;
  }

  /** Records a refused tunnel. */
  recordRefused(tunnel: TunnelLabel, reason: TunnelRefusal): void {
    const {refused} = this.counts;
    refused.set(reason, (refused.get(reason) ?? 0) + 1);
    this.write('tunnel_refused', reason, {...tunnel, reason});
  }

  /** Records the end of a tunnel that has broken, or of one being set up. */
  recordBroken(tunnel: TunnelLabel, {code, fault, side}: TunnelBreak): void {
    this.counts.broken += 1;
    const fields = {...tunnel, side, code};
    if (fault === undefined) {
      this.write('tunnel_broken', side, fields);
      return;
    }
    const {message, stack} =
      fault instanceof Error ? fault : new Error(String(fault));
    this.write('tunnel_broken', 'fault', {...fields, message, stack});
  }

  /** Writes a line, unless one about the same event and cause was just written. */
  private write(event: string, cause: string, fields: LogFields): void {
    const key = `${event} ${cause}`;
    const nowMs = this.clock.now();
    const last = this.lines.get(key);
    if (last !== undefined && nowMs - last.writtenMs < LINE_INTERVAL_MS) {
      last.omitted += 1;
      return;
    }
    const omitted = last?.omitted || undefined;
    this.lines.set(key, {writtenMs: nowMs, omitted: 0});
    this.logger.warn(event, {...fields, omitted});
  }
}
