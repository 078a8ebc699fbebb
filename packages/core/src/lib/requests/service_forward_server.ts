/** Runs service calls forwarded by hosts of other zones. @packageDocumentation */

import {CallContext, PeerNetwork} from '../peers/peer_network.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {drain} from './drain.js';
import {InFlight} from './in_flight.js';
import {REFUSAL, RefusalReason, refuse} from './outcome.js';
import {ServiceAttempt, ServiceCaller} from './service_attempt.js';
import {
  FORWARD_SERVICE,
  ForwardService,
  ForwardServiceEvent,
} from './service_call.js';

/** Options of a {@link ServiceForwardServer}. */
export interface ServiceForwardServerOptions {
  network: PeerNetwork;
  caller: ServiceCaller;
  tracing: Tracing;
  clock: Clock;
}

/** Serves {@link FORWARD_SERVICE} calls. */
export class ServiceForwardServer {
  /** Forwarded calls in progress. */
  readonly inFlight = new InFlight();
  private closed = false;

  constructor(private readonly options: ServiceForwardServerOptions) {
    options.network.serve(FORWARD_SERVICE, (body, context) =>
      this.serve(body, context),
    );
  }

  /** Makes the server refuse new calls. */
  close(): void {
    this.closed = true;
  }

  private async *serve(
    forward: ForwardService,
    {signal}: CallContext,
  ): AsyncGenerator<ForwardServiceEvent, void> {
    const {request: req, remainingMs, traceparent, avoid} = forward;
    const {clock, tracing, caller} = this.options;
    const target = caller.leastLoaded(req.targets, new Set(avoid));
    if (this.closed) {
      yield refusal(req.id, REFUSAL.stopping, 'this host is stopping');
      return;
    }
    if (target === undefined) {
      yield refusal(req.id, REFUSAL.noCapacity, 'no such service here');
      return;
    }
    const leave = this.inFlight.enter();
    const span = tracing.startRemote(HOP.request, traceparent);
    const deadlineMs = clock.now() + remainingMs;
    try {
      const context = {deadlineMs, span, signal};
      yield* toEvents(req.id, caller.call(target, req, context));
    } finally {
      span.end();
      leave();
    }
  }
}

async function* toEvents(
  id: string,
  attempt: ServiceAttempt,
): AsyncGenerator<ForwardServiceEvent, void> {
  let ended = false;
  try {
    for (;;) {
      const step = await attempt.next();
      ended = step.done === true;
      if (step.done) {
        yield {id, event: {type: 'outcome', ...step.value}};
        return;
      }
      yield {id, event: step.value};
    }
  } finally {
    // The reader stops early only if the call was cancelled or its link was
    // lost; both abort the signal of the attempt.
    if (!ended) await drain(attempt);
  }
}

function refusal(
  id: string,
  reason: RefusalReason,
  message: string,
): ForwardServiceEvent {
  const outcome = refuse(reason, message);
  return {id, event: {type: 'outcome', outcome}};
}
