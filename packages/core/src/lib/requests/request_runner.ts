/** Rate-limits, routes and retries generation requests. @packageDocumentation */

import {TokenLimiter} from '../limits/token_limiter.js';
import {Router} from '../routing/router.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {Attempt, AttemptEnd, RunContext} from './attempt.js';
import {
  GenerationEvent,
  GenerationRequest,
  estimatePromptTokens,
} from './generation.js';
import {LocalRunner} from './local_runner.js';
import {
  FAILURE,
  FailureReason,
  Outcome,
  REFUSAL,
  RefusalReason,
  refuse,
} from './outcome.js';
import {PeerRunner} from './peer_runner.js';
import {runWithRetries} from './retry_loop.js';
import {RetryBudget} from '../limits/retry_budget.js';

/** Options of a {@link RequestRunner}. */
export interface RequestRunnerOptions {
  limiter: TokenLimiter;
  router: Router;
  local: LocalRunner;
  peers: PeerRunner;
  retries: RetryBudget;
  tracing: Tracing;
  clock: Clock;
}

/** The events of a response; the generator returns the outcome. */
export type GenerationRun = AsyncGenerator<GenerationEvent, Outcome>;

/** Reasons of refusals after which another target or host may still serve. */
const RETRYABLE_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  REFUSAL.noCapacity,
  REFUSAL.stopping,
]);

/** Reasons of failures after which a repeatable request may run again. */
const RETRYABLE_FAILURES: ReadonlySet<FailureReason> = new Set([
  FAILURE.targetLost,
  FAILURE.peerLost,
]);

/**
 * Runs requests: reserves tokens, chooses a route, waits in the queue, reads
 * from the target, and retries.
 *
 * Every run ends with exactly one outcome, which is a refusal only if no
 * attempt can have run the request. The signal of the context cancels a run;
 * a reader that needs the outcome has to iterate to the end.
 */
export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {}

  /**
   * Runs a request that a caller sent to this host.
   *
   * @param req - the request, already authenticated.
   * @param context - see {@link RunContext}.
   */
  run(req: GenerationRequest, context: RunContext): GenerationRun {
    const {clock, retries} = this.options;
    return runWithRetries({
      clock,
      retries,
      context,
      startAttempt: avoid => this.attempt(req, context, avoid),
      isRetryable: outcome => isRetryable(outcome, req.repeatable),
    });
  }

  /**
   * Runs one attempt. Each attempt reserves its own tokens, since it generates
   * the response from the start.
   */
  private async *attempt(
    req: GenerationRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): Attempt {
    const {limiter, tracing} = this.options;
    const promptTokens = estimatePromptTokens(req.input);
    const tokens = promptTokens + req.maxTokens;
    const span = tracing.start(HOP.limit, context.span.context);
    const demand = {team: req.team, tokens, deadlineMs: context.deadlineMs};
    const reserved = await limiter.reserve(demand, context.signal);
    span.end(reserved.isErr() ? reserved.error.reason : undefined);
    if (reserved.isErr()) {
      const outcome: Outcome = context.signal.aborted
        ? {type: 'cancelled'}
        : reserved.error;
      return {outcome, generated: 0};
    }
    const end = yield* this.route(req, context, avoid);
    const settle = (generated: number | undefined) => {
      const used = usedTokens(end, generated, promptTokens, tokens);
      reserved.value.settle(used);
    };
    const {generated, pendingGenerated} = end;
    if (pendingGenerated === undefined) settle(generated);
    else void pendingGenerated.then(settle);
    return end;
  }

  private async *route(
    req: GenerationRequest,
    context: RunContext,
    avoid: ReadonlySet<string>,
  ): Attempt {
    const {router, tracing, local, peers} = this.options;
    const span = tracing.start(HOP.route, context.span.context);
    const choice = router.routeGeneration(avoid, req.model);
    span.set('choice', choice.type);
    span.end();
    switch (choice.type) {
      case 'none':
        return {
          outcome: refuse(REFUSAL.noCapacity, choice.message),
          generated: 0,
        };
      case 'local':
        return yield* local.run(req, context, {avoid});
      case 'peer': {
        const {host, zone} = choice;
        return yield* peers.run(host, zone, req, context, avoid);
      }
    }
  }
}

function isRetryable(outcome: Outcome, repeatable: boolean): boolean {
  if (outcome.type === 'refused') return RETRYABLE_REFUSALS.has(outcome.reason);
  if (outcome.type !== 'failed') return false;
  return repeatable && RETRYABLE_FAILURES.has(outcome.reason);
}

function usedTokens(
  {outcome}: AttemptEnd,
  generated: number | undefined,
  promptTokens: number,
  reserved: number,
): number {
  if (outcome.type === 'refused') return 0;
  return generated === undefined ? reserved : promptTokens + generated;
}
