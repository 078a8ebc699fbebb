/** Models whose loads end their targets. @packageDocumentation */

import {residentKey} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

/** Targets that end while they load a model before it is suspended. */
const SUSPENDING_ENDS = 2;

/** How long an end counts if no other one follows. */
const END_LIFETIME_MS = 120_000;

/** Duration of the first suspension; it doubles with each further. */
const FIRST_SUSPENSION_MS = 30_000;
const MAX_SUSPENSION_MS = 3_600_000;

interface ModelFailures {
  /** Addresses of the targets that ended since the last suspension. */
  readonly ended: Set<string>;
  lastEndMs: number;
  suspensionCount: number;
  suspendedUntilMs: number;
}

/**
 * Suspends a model after targets at different addresses have ended while they
 * loaded it. A target that keeps ending for another reason counts once.
 */
export class LoadFailures {
  private readonly byModel = new Map<string, ModelFailures>();

  /**
   * @param clock - measures suspensions.
   * @param logger - receives a line for each suspension.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Records that a target has ended while it loaded a model.
   *
   * @param service - service of the model.
   * @param model - the model.
   * @param address - address of the target.
   */
  recordEnd(service: string, model: string, address: string): void {
    const nowMs = this.clock.now();
    const failures = this.failuresOf(service, model, nowMs);
    failures.ended.add(address);
    failures.lastEndMs = nowMs;
    const isSuspended = failures.ended.size >= SUSPENDING_ENDS;
    const forMs = suspensionMs(failures.suspensionCount);
    this.logger.warn('load_ended_target', {
      service,
      model,
      address,
      suspended_for_ms: isSuspended ? forMs : undefined,
    });
    if (!isSuspended) return;
    failures.ended.clear();
    failures.suspensionCount += 1;
    failures.suspendedUntilMs = nowMs + forMs;
  }

  /**
   * Records that a target serves a model that it has loaded.
   *
   * @param service - service of the model.
   * @param model - the model.
   */
  recordLoaded(service: string, model: string): void {
    this.byModel.delete(residentKey(service, model));
  }

  /**
   * Returns the remaining time of a suspension, in milliseconds.
   *
   * @param service - service of the model.
   * @param model - the model.
   */
  suspendedLeftMs(service: string, model: string): number {
    const failures = this.byModel.get(residentKey(service, model));
    if (failures === undefined) return 0;
    return Math.max(0, failures.suspendedUntilMs - this.clock.now());
  }

  private failuresOf(
    service: string,
    model: string,
    nowMs: number,
  ): ModelFailures {
    const key = residentKey(service, model);
    let failures = this.byModel.get(key);
    const lastMs = Math.max(
      failures?.lastEndMs ?? -Infinity,
      failures?.suspendedUntilMs ?? -Infinity,
    );
    if (failures === undefined || nowMs - lastMs > END_LIFETIME_MS) {
      failures = {
        ended: new Set(),
        lastEndMs: nowMs,
        suspensionCount: 0,
        suspendedUntilMs: -Infinity,
      };
      this.byModel.set(key, failures);
    }
    return failures;
  }
}

function suspensionMs(earlierCount: number): number {
  return Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS * 2 ** earlierCount);
}
