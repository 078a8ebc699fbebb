/** Runs service calls forwarded by hosts of other zones. @packageDocumentation */

import {CallContext, PeerNetwork} from '../peers/peer_network.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {drain} from './drain.js';
import {InFlightTracker} from './in_flight_tracker.js';
import {REFUSAL, RefusalReason, refuse} from './outcome.js';
import {ServiceAttempt, LocalServiceRunner} from './local_service_runner.js';
import {
  FORWARD_SERVICE,
  ForwardedServiceCall,
  ForwardServiceEvent,
} from './service_call.js';

/** Options of a {@link ServiceForwardServer}. */
export interface ServiceForwardServerOptions {
  network: PeerNetwork;
  runner: LocalServiceRunner;
  tracing: Tracing;
  clock: Clock;
}

/** Serves {@link FORWARD_SERVICE} calls. */
export class ServiceForwardServer {
  /** Forwarded calls in progress. */
  readonly inFlight = new InFlightTracker();
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
    forward: ForwardedServiceCall,
    {signal}: CallContext,
  ): AsyncGenerator<ForwardServiceEvent, void> {
    const {request: req, remainingMs, traceparent, avoid} = forward;
    const {clock, tracing, runner} = this.options;
    const target = runner.pickLeastLoaded(req.targets, new Set(avoid));
    if (this.closed) {
      yield refusalEvent(req.id, REFUSAL.stopping, 'this host is stopping');
      return;
    }
    if (target === undefined) {
      yield refusalEvent(req.id, REFUSAL.noCapacity, 'no such service here');
      return;
    }
    const endCall = this.inFlight.begin();
    const span = tracing.startRemote(HOP.request, traceparent);
    const deadlineMs = clock.now() + remainingMs;
    try {
      const context = {deadlineMs, span, signal};
      yield* toEvents(req.id, runner.run(target, req, context));
    } finally {
      span.end();
      endCall();
    }
  }
}

async function* toEvents(
  id: string,
  attempt: ServiceAttempt,
): AsyncGenerator<ForwardServiceEvent, void> {
  let hasEnded = false;
  try {
    for (;;) {
      const step = await attempt.next();
      hasEnded = step.done === true;
      if (step.done) {
        yield {id, event: {type: 'outcome', ...step.value}};
        return;
      }
      yield {id, event: step.value};
    }
  } finally {
    // The reader stops early only if the call was cancelled or its link was
    // lost; both abort the signal of the attempt.
    if (!hasEnded) await drain(attempt);
  }
}

function refusalEvent(
  id: string,
  reason: RefusalReason,
  message: string,
): ForwardServiceEvent {
  const outcome = refuse(reason, message);
  return {id, event: {type: 'outcome', outcome}};
}
