/** Routes service calls and retries them. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {PEER_ERROR, PeerNetwork} from '../peers/peer_network.js';
import {Router} from '../routing/router.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {deadlineSignal} from '../time/deadline.js';
import {RunContext} from './attempt.js';
import {FAILURE, Outcome, REFUSAL, fail, refuse} from './outcome.js';
import {OUTCOME_GRACE_MS, overdueForward} from './forward.js';
import {runWithRetries} from './retry_loop.js';
import {RetryBudget} from '../limits/retry_budget.js';
import {ServiceAttempt, LocalServiceRunner} from './local_service_runner.js';
import {
  FORWARD_SERVICE,
  ForwardedServiceCall,
  ServiceEvent,
  ServiceRequest,
} from './service_call.js';

/** Options of a {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
  zone: string;
  config: ConfigState;
  router: Router;
  network: PeerNetwork;
  localRunner: LocalServiceRunner;
  retries: RetryBudget;
  tracing: Tracing;
  clock: Clock;
}

/** The events of a response; the generator returns the outcome. */
export type ServiceRun = AsyncGenerator<ServiceEvent, Outcome>;

/**
 * Runs calls of plain services.
 *
 * A call that is not repeatable is written to at most one connection: it is
 * retried only after an attempt that sent no byte.
 */
export class ServiceRunner {
  constructor(private readonly options: ServiceRunnerOptions) {}

  /**
   * Runs a call that a caller sent to this host.
   *
   * @param req - the call, already authenticated.
   * @param context - see {@link RunContext}.
   */
  run(req: ServiceRequest, context: RunContext): ServiceRun {
    const {clock, retries} = this.options;
    return runWithRetries({
      clock,
      retries,
      context,
      startAttempt: avoid => this.attempt(req, context, avoid),
      isRetryable: ({type}) =>
        type === 'refused' || (type === 'failed' && req.repeatable),
    });
  }

  private async *attempt(
    req: ServiceRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): ServiceAttempt {
    const {localRunner} = this.options;
    const target = localRunner.pickLeastLoaded(req.targets, avoid);
    if (target !== undefined) {
      return yield* localRunner.run(target, req, context);
    }
    const host = this.pickRemoteHost(req, avoid);
    if (host !== undefined) {
      return yield* this.forward(host, req, context, avoid);
    }
    const message = `no service of route "${req.route}" can be reached`;
    return {outcome: refuse(REFUSAL.noCapacity, message)};
  }

  private pickRemoteHost(
    {targets}: ServiceRequest,
    avoid: ReadonlySet<string>,
  ): string | undefined {
    for (const name of targets) {
      const zone = this.zoneOf(name);
      if (zone === undefined || avoid.has(name)) continue;
      if (zone === this.options.zone) continue;
      const hosts = this.options.router.hostsIn(zone);
      const host = hosts.find(known => !avoid.has(known));
      if (host !== undefined) return host;
    }
    return undefined;
  }

  private zoneOf(target: string): string | undefined {
    return this.options.config.declared.get('target', target)?.zone;
  }

  private async *forward(
    host: string,
    req: ServiceRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): ServiceAttempt {
    const {tracing, network, clock} = this.options;
    context.onStart?.();
    const span = tracing.start(HOP.peer, context.span.context, {host});
    const forward: ForwardedServiceCall = {
      request: req,
      remainingMs: context.deadlineMs - clock.now(),
      traceparent: span.traceparent(),
      avoid: [...avoid],
    };
    const lostEnd = (message: string) => ({
      outcome: fail(FAILURE.peerLost, message),
      avoid: host,
    });
    const endMs = context.deadlineMs + OUTCOME_GRACE_MS;
    const deadline = deadlineSignal(clock, endMs);
    const signal = AbortSignal.any([context.signal, deadline.signal]);
    const answers = network.open(host, FORWARD_SERVICE, forward, signal);
    try {
      for await (const answer of answers) {
        if (context.signal.aborted) return {outcome: {type: 'cancelled'}};
        if (answer.isErr()) {
          const {type, message} = answer.error;
          if (type === PEER_ERROR.notSent) {
            const outcome = refuse(REFUSAL.noCapacity, message);
            return {outcome, avoid: host};
          }
          if (!deadline.signal.aborted) return lostEnd(message);
          return {outcome: overdueForward(), avoid: host};
        }
        const {id, event} = answer.value;
        if (id !== req.id) return lostEnd('the peer answered another request');
        if (event.type !== 'outcome') {
          yield event;
          continue;
        }
        return {outcome: event.outcome, avoid: event.avoid ?? host};
      }
      return lostEnd('the peer ended without an outcome');
    } finally {
      deadline.dispose();
      span.end();
    }
  }
}
