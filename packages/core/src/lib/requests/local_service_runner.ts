/** Calls services of this host's zone. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {ServiceAnswer, ServiceClient} from '../targets/service_client.js';
import {Clock} from '../time/clock.js';
import {deadlineSignal} from '../time/deadline.js';
import {RunContext} from './attempt.js';
import {FAILURE, Outcome, REFUSAL, fail, refuse} from './outcome.js';
import {ServiceEvent, ServiceRequest} from './service_call.js';

/** Result of an attempt. */
export interface ServiceAttemptEnd {
  outcome: Outcome;
  /** Target or host that the next attempt should avoid. */
  avoid?: string;
}

/** The events of an attempt; the generator returns its result. */
export type ServiceAttempt = AsyncGenerator<ServiceEvent, ServiceAttemptEnd>;

/** Options of a {@link LocalServiceRunner}. */
export interface LocalServiceRunnerOptions {
  zone: string;
  config: ConfigState;
  tracing: Tracing;
  clock: Clock;
  /** Returns the client of a declared service. */
  serviceOf: (target: string) => ServiceClient;
}

/** Calls services of this host's zone, each call on a new connection. */
export class LocalServiceRunner {
  private readonly running = new Map<string, number>();

  constructor(private readonly options: LocalServiceRunnerOptions) {}

  /**
   * Picks the service of this zone with the fewest calls in progress from this
   * host.
   *
   * @param targets - names of services of any zone.
   * @param avoid - targets that failed in earlier attempts.
   * @returns the name of the service, or undefined if there is none.
   */
  pickLeastLoaded(
    targets: readonly string[],
    avoid: ReadonlySet<string>,
  ): string | undefined {
    const {zone, config} = this.options;
    return targets
      .filter(name => config.declared.get('target', name)?.zone === zone)
      .filter(name => !avoid.has(name))
      .sort((a, b) => this.countRunning(a) - this.countRunning(b))[0];
  }

  /**
   * Runs one attempt of a call.
   *
   * @param target - the service.
   * @param req - the call.
   * @param context - see {@link RunContext}.
   */
  async *run(
    target: string,
    req: ServiceRequest,
    context: RunContext,
  ): ServiceAttempt {
    const {tracing, clock} = this.options;
    context.onStart?.();
    const span = tracing.start(HOP.target, context.span.context, {target});
    const deadline = deadlineSignal(clock, context.deadlineMs);
    const signal = AbortSignal.any([context.signal, deadline.signal]);
    this.running.set(target, this.countRunning(target) + 1);
    let outcome: Outcome = {type: 'cancelled'};
    try {
      const traceparent = span.traceparent();
      outcome = yield* this.read(target, req, traceparent, signal);
      if (context.signal.aborted) outcome = {type: 'cancelled'};
      return {outcome, avoid: target};
    } finally {
      this.running.set(target, this.countRunning(target) - 1);
      deadline.dispose();
      span.end(outcome.type === 'served' ? undefined : outcome.type);
    }
  }

  private countRunning(target: string): number {
    return this.running.get(target) ?? 0;
  }

  private async *read(
    target: string,
    req: ServiceRequest,
    traceparent: string,
    signal: AbortSignal,
  ): AsyncGenerator<ServiceEvent, Outcome> {
    const {method, path, body} = req;
    const answer = await this.options.serviceOf(target).call(
      {
        method,
        path,
        headers: {...req.headers, traceparent},
        body: Buffer.from(body),
      },
      signal,
    );
    if (answer.isErr()) {
      const {mayHaveBeenSent, message} = answer.error;
      if (!mayHaveBeenSent) return refuse(REFUSAL.noCapacity, message);
      return lostOutcome(signal, message);
    }
    return yield* readAnswer(answer.value, signal);
  }
}

async function* readAnswer(
  {status, headers, body}: ServiceAnswer,
  signal: AbortSignal,
): AsyncGenerator<ServiceEvent, Outcome> {
  try {
    yield {type: 'head', status, headers};
    for await (const data of body) yield {type: 'chunk', data};
    return {type: 'served'};
  } catch (error) {
    return lostOutcome(signal, (error as Error).message);
  } finally {
    body.destroy();
  }
}

function lostOutcome(signal: AbortSignal, message: string): Outcome {
  if (!signal.aborted) return fail(FAILURE.targetLost, message);
  return fail(FAILURE.deadline, 'the service did not answer in time');
}
