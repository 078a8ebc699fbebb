/** Runs a generation through a host of another zone. @packageDocumentation */

import {PEER_ERROR, PeerError, PeerNetwork} from '../peers/peer_network.js';
import {Router} from '../routing/router.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {deadlineSignal} from '../time/deadline.js';
import {Attempt, AttemptEnd, ResumePoint, RunContext} from './attempt.js';
import {
  FORWARD,
  ForwardedRequest,
  OUTCOME_GRACE_MS,
  overdueForward,
} from './forward.js';
import {GenerationEvent, GenerationRequest} from './generation.js';
import {FAILURE, Outcome, REFUSAL, fail, refuse} from './outcome.js';

const RESUME_ATTEMPTS = 3;
const RESUME_DELAY_MS = 100;

/** Options of a {@link PeerRunner}. */
export interface PeerRunnerOptions {
  network: PeerNetwork;
  router: Router;
  tracing: Tracing;
  clock: Clock;
}

/** Result of one call to a peer. */
type CallEnd = AttemptEnd | PeerError;

/** Progress of a forwarded run over all its calls. */
interface RunProgress {
  /** Target that runs the request; undefined until the peer reports it. */
  target: string | undefined;
  /** Offset of the next token, which is the number of tokens received. */
  next: number;
}

/**
 * Forwards requests. If the link or the peer is lost in the middle of a
 * response, a further call, to any host of that zone, attaches to the run.
 */
export class PeerRunner {
  constructor(private readonly options: PeerRunnerOptions) {}

  /**
   * Runs one attempt.
   *
   * @param host - the peer.
   * @param zone - the peer's zone.
   * @param req - the request.
   * @param context - see {@link RunContext}.
   * @param avoid - targets and hosts that failed in earlier attempts.
   */
  async *run(
    host: string,
    zone: string,
    req: GenerationRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): Attempt {
    const {clock} = this.options;
    const endMs = context.deadlineMs + OUTCOME_GRACE_MS;
    const deadline = deadlineSignal(clock, endMs);
    const signal = AbortSignal.any([context.signal, deadline.signal]);
    try {
      const limited = {...context, signal};
      const end = yield* this.runLimited(host, zone, req, limited, avoid);
      const isCut = signal.aborted && end.outcome.type === 'cancelled';
      if (!isCut || context.signal.aborted) return end;
      return {outcome: overdueForward(), generated: undefined};
    } finally {
      deadline.dispose();
    }
  }

  /** Runs one attempt that is cancelled when the signal of its context aborts. */
  private async *runLimited(
    host: string,
    zone: string,
    req: GenerationRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): Attempt {
    const progress: RunProgress = {target: undefined, next: 0};
    let peer = host;
    let resume: ResumePoint | undefined;
    for (let attempt = 0; ; attempt++) {
      const end = yield* this.call(peer, req, context, avoid, progress, resume);
      if ('outcome' in end) return end;
      if (context.signal.aborted) {
        return {outcome: {type: 'cancelled'}, generated: undefined};
      }
      const isUnsent = end.type === PEER_ERROR.notSent && resume === undefined;
      if (isUnsent) return notSentEnd(host, end);
      const {target, next} = progress;
      if (target === undefined || attempt >= RESUME_ATTEMPTS) {
        return lostEnd(host, end);
      }
      resume = {target, offset: next};
      peer = this.nextHost(peer, zone, attempt);
      await this.options.clock.sleep(RESUME_DELAY_MS, context.signal);
    }
  }

  /**
   * Returns the next host of the zone in round-robin order; the lost host only
   * if there is no other.
   */
  private nextHost(lostHost: string, zone: string, attempt: number): string {
    const hosts = this.options.router.hostsIn(zone);
    const others = hosts.filter(host => host !== lostHost);
    return others.length === 0 ? lostHost : others[attempt % others.length];
  }

  private async *call(
    host: string,
    req: GenerationRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
    progress: RunProgress,
    resume: ResumePoint | undefined,
  ): AsyncGenerator<GenerationEvent, CallEnd> {
    const {tracing, network, clock} = this.options;
    context.onStart?.();
    const span = tracing.start(HOP.peer, context.span.context, {host});
    const forward: ForwardedRequest = {
      request: req,
      remainingMs: context.deadlineMs - clock.now(),
      traceparent: span.traceparent(),
      avoid: [...avoid],
      resume,
    };
    const answers = network.open(host, FORWARD, forward, context.signal);
    try {
      for await (const answer of answers) {
        if (answer.isErr()) return answer.error;
        const {id, event} = answer.value;
        if (id !== req.id) return lostError('answered another request');
        if (event.type === 'outcome') {
          const {outcome, generated} = event;
          const failed = isStopping(outcome) ? host : undefined;
          return {outcome, generated, avoid: event.avoid ?? failed};
        }
        if (event.type === 'target') {
          progress.target = event.target;
          continue;
        }
        if (event.type === 'token') {
          if (event.offset < progress.next) continue;
          if (event.offset > progress.next) return lostError('skipped a token');
          progress.next += 1;
        }
        yield event;
      }
      return lostError('ended without an outcome');
    } finally {
      span.end();
    }
  }
}

/** Whether the peer takes no more requests, so that another host may serve. */
function isStopping(outcome: Outcome): boolean {
  return outcome.type === 'refused' && outcome.reason === REFUSAL.stopping;
}

function notSentEnd(host: string, {message}: PeerError): AttemptEnd {
  const outcome = refuse(REFUSAL.noCapacity, message);
  return {outcome, generated: 0, avoid: host};
}

function lostEnd(host: string, {message}: PeerError): AttemptEnd {
  const outcome = fail(FAILURE.peerLost, message);
  return {outcome, generated: undefined, avoid: host};
}

function lostError(message: string): PeerError {
  return {type: PEER_ERROR.lost, message: `the peer ${message}`};
}
