/** Runs requests forwarded by hosts of other zones. @packageDocumentation */

import {CALL_ABORT, CallContext, PeerNetwork} from '../peers/peer_network.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {drain} from './drain.js';
import {FORWARD, ForwardedRequest, ForwardEvent} from './forward.js';
import {InFlightTracker} from './in_flight_tracker.js';
import {LocalRunner} from './local_runner.js';
import {REFUSAL, refuse} from './outcome.js';

/** Options of a {@link ForwardServer}. */
export interface ForwardServerOptions {
  network: PeerNetwork;
  runner: LocalRunner;
  tracing: Tracing;
  clock: Clock;
}

/**
 * Serves {@link FORWARD} calls.
 *
 * A cancelled call ends its run. A lost link only detaches from the run, which
 * stays on the engine so that another call can resume it.
 */
export class ForwardServer {
  /** Forwarded requests in progress. */
  readonly inFlight = new InFlightTracker();
  private closed = false;

  constructor(private readonly options: ForwardServerOptions) {
    options.network.serve(FORWARD, (body, context) =>
      this.serve(body, context),
    );
  }

  /** Makes the server refuse new requests; it still accepts resumed ones. */
  close(): void {
    this.closed = true;
  }

  private async *serve(
    forward: ForwardedRequest,
    context: CallContext,
  ): AsyncGenerator<ForwardEvent, void> {
    const {id} = forward.request;
    if (this.closed && forward.resume === undefined) {
      const outcome = refuse(REFUSAL.stopping, 'this host is stopping');
      yield {id, event: {type: 'outcome', outcome, generated: 0}};
      return;
    }
    const endRequest = this.inFlight.begin();
    try {
      yield* this.run(forward, context);
    } finally {
      endRequest();
    }
  }

  private async *run(
    {request: req, remainingMs, traceparent, avoid, resume}: ForwardedRequest,
    {signal}: CallContext,
  ): AsyncGenerator<ForwardEvent, void> {
    const {tracing, clock, runner} = this.options;
    const {id} = req;
    const span = tracing.startRemote(HOP.request, traceparent);
    const cancel = new AbortController();
    const detach = new AbortController();
    const onAbort = () => {
      if (signal.reason === CALL_ABORT.linkLost) detach.abort();
      else cancel.abort();
    };
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
    const deadlineMs = clock.now() + remainingMs;
    const context = {deadlineMs, span, signal: cancel.signal};
    let target: string | undefined;
    const attempt = runner.run(req, context, {
      avoid: new Set(avoid),
      detach: detach.signal,
      resume,
      onTarget: chosen => {
        target = chosen;
      },
    });
    let hasEnded = false;
    try {
      for (;;) {
        const step = await attempt.next();
        hasEnded = step.done === true;
        if (target !== undefined) {
          yield {id, event: {type: 'target', target}};
          target = undefined;
        }
        if (step.done) {
          const {outcome, generated, avoid: failed} = step.value;
          const end = {outcome, generated, avoid: failed};
          yield {id, event: {type: 'outcome', ...end}};
          return;
        }
        yield {id, event: step.value};
      }
    } finally {
      signal.removeEventListener('abort', onAbort);
      // The reader stops early only if the call was cancelled or its link was
      // lost; both abort a signal of the attempt.
      if (!hasEnded) await drain(attempt);
      span.end();
    }
  }
}
