/** Runs requests with an idempotency key at most once. @packageDocumentation */

import {
  Claim,
  ClaimResult,
  Clock,
  ConflictReason,
  IdempotencyRegistry,
  MAX_STORED_BODY_BYTES,
  Outcome,
  REFUSAL,
  Refusal,
  StoredAnswer,
  refuse,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {errorResponse} from './http_outcome.js';
import {AdmittedRequest} from './request_gate.js';

/** Request header with the key for which a request runs at most once. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/** Response header that marks a response stored by an earlier run. */
export const REPLAYED_HEADER = 'idempotency-replayed';

const MAX_KEY_LENGTH = 256;
const CLAIM_TIMEOUT_MS = 5_000;
const MAX_ABANDON_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

const CONFLICT_MESSAGES: Record<ConflictReason, string> = {
  'in-progress': 'a request with this idempotency key is in progress',
  'other-content': 'this idempotency key was used for another request',
  'result-gone':
    'the request ran before, or may have; its answer is no longer held',
};

/** Runs a request and returns its response. */
export type RequestExecutor = () => Promise<Response>;

/** Prevents a request that is not repeatable from running more than once. */
export class IdempotencyGuard {
  constructor(
    private readonly registry: IdempotencyRegistry,
    private readonly clock: Clock,
  ) {}

  /**
   * Runs a request unless it has run before. Repeatable requests and requests
   * without an idempotency key are always run.
   *
   * @param admitted - the request; finished by this method or by `run`.
   * @param idempotencyKey - value of the caller's header.
   * @param content - everything that identifies the request; the same key with
   *     other content is a conflict.
   * @param run - runs the request and returns its response.
   * @returns the response of this run, a stored one, or an error response.
   */
  async run(
    admitted: AdmittedRequest,
    idempotencyKey: string | undefined,
    content: string,
    run: RequestExecutor,
  ): Promise<Response> {
    if (idempotencyKey === undefined || admitted.route.repeatable) return run();
    const claim = await this.claim(admitted, idempotencyKey, content);
    if (claim.isErr()) {
      admitted.finish(claim.error);
      return errorResponse(claim.error);
    }
    if (claim.value.type === 'stored') {
      admitted.finish({type: 'served'});
      return replayResponse(claim.value.answer);
    }
    return this.runClaimed(admitted, claim.value.claim, run);
  }

  private async claim(
    {team, deadlineMs}: AdmittedRequest,
    idempotencyKey: string,
    content: string,
  ): Promise<Result<Extract<ClaimResult, {type: 'won' | 'stored'}>, Refusal>> {
    if (idempotencyKey.length > MAX_KEY_LENGTH) {
      const message = `${IDEMPOTENCY_HEADER} exceeds ${MAX_KEY_LENGTH} characters`;
      return err(refuse(REFUSAL.badRequest, message));
    }
    const remainingMs = deadlineMs - this.clock.now();
    const result = await this.registry.claim({
      team,
      idempotencyKey,
      content,
      timeoutMs: Math.min(CLAIM_TIMEOUT_MS, remainingMs),
    });
    switch (result.type) {
      case 'won':
      case 'stored':
        return ok(result);
      case 'conflict': {
        const inProgress = result.reason === 'in-progress';
        const retryAfterMs = inProgress ? RETRY_AFTER_MS : undefined;
        const message = CONFLICT_MESSAGES[result.reason];
        return err(refuse(REFUSAL.conflict, message, retryAfterMs));
      }
      case 'unavailable': {
        const message = `the request could not be claimed: ${result.message}`;
        return err(refuse(REFUSAL.logUnavailable, message, RETRY_AFTER_MS));
      }
    }
  }

  private async runClaimed(
    admitted: AdmittedRequest,
    claim: Claim,
    run: RequestExecutor,
  ): Promise<Response> {
    const res = await run();
    const [toCaller, toStore] = res.body?.tee() ?? [null, null];
    const body = readStorableBody(toStore);
    const settled = admitted.outcome.then(async outcome =>
      settleClaim(claim, outcome, res, await body),
    );
    if (admitted.finalOutcome?.type === 'refused') {
      // Releases the key before the caller can retry.
      const remainingMs = admitted.deadlineMs - this.clock.now();
      const waitMs = Math.min(MAX_ABANDON_WAIT_MS, remainingMs);
      await Promise.race([settled, this.clock.sleep(waitMs)]);
    }
    const {status, headers} = res;
    return new Response(toCaller, {status, headers});
  }
}

/** Completes or abandons a claim, depending on the outcome of its request. */
function settleClaim(
  claim: Claim,
  outcome: Outcome,
  {status, headers}: Response,
  body: Buffer | undefined,
): Promise<void> {
  if (outcome.type === 'refused') return claim.abandon();
  if (outcome.type !== 'served' || body === undefined) {
    return claim.complete(undefined);
  }
  const storedHeaders = Object.fromEntries(headers);
  const answer = {
    status,
    headers: storedHeaders,
    body: body.toString('base64'),
  };
  return claim.complete(answer);
}

/**
 * Reads a response body for storage, also after the caller has disconnected, so
 * that a retry gets it.
 *
 * @returns the body, or undefined if it is incomplete or too large to store.
 */
async function readStorableBody(
  body: ReadableStream<Uint8Array> | null,
): Promise<Buffer | undefined> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body ?? []) {
      bytes += chunk.length;
      // Returning cancels only this branch of the tee; the caller's continues.
      if (bytes > MAX_STORED_BODY_BYTES) return undefined;
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  } catch {
    return undefined;
  }
}

function replayResponse({status, headers, body}: StoredAnswer): Response {
  return new Response(Buffer.from(body, 'base64'), {
    status,
    headers: {...headers, [REPLAYED_HEADER]: 'true'},
  });
}
