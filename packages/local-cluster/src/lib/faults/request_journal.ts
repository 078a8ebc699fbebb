/** Requests of a fault run and their results. @packageDocumentation */

import {Random, newRequestId} from '@fuchsiacleat/core';
import {CallerAnswer, expectedText} from '../caller.js';
import {FaultScenario, ScenarioTeam} from './fault_scenario.js';

const MIN_DEADLINE_MS = 400;
const MAX_DEADLINE_MS = 6_000;
const MAX_TOKENS = 30;
const SPAN_ID_DIGITS = 16;
const UNKNOWN_KEY = 'fc-nobody';

/** Request and its result. */
export interface JournalEntry {
  /** Unique text that identifies the request in the records of stand-ins. */
  text: string;
  kind: 'chat' | 'service';
  host: string;
  team: string;
  route: string;
  /** Whether the key of the request is entitled to the route. */
  isEntitled: boolean;
  /** Whether the request uses a key that is withdrawn at times. */
  usesRevocableKey: boolean;
  idempotencyKey: string | undefined;
  tokens: number;
  deadlineMs: number;
  /** Times on the clock of this process, in milliseconds. */
  sentMs: number;
  endedMs: number;
  answer: CallerAnswer;
  /** Id of the request's trace. */
  traceId: string;
  /** Text of a complete response; undefined for services. */
  expected: string | undefined;
}

/** Sends seeded requests and records their results. */
export class RequestJournal {
  /** Requests that have ended. */
  readonly entries: JournalEntry[] = [];
  private readonly pending = new Set<Promise<void>>();
  private nextNumber = 0;

  constructor(
    private readonly scenario: FaultScenario,
    private readonly random: Random,
  ) {}

  /** Sends one request without waiting for its end. */
  send(): void {
    const run = this.run().then(() => {
      this.pending.delete(run);
    });
    this.pending.add(run);
  }

  /** Waits until every request has ended. */
  async waitForAll(): Promise<void> {
    await Promise.all(this.pending);
  }

  private async run(): Promise<void> {
    const {scenario: scene, random} = this;
    const number = this.nextNumber++;
    const team = random.pick(scene.teams);
    const host = random.pick(scene.hostsInService());
    const isChat = random.int(0, 9) < 6;
    const deadlineMs = random.int(MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    const tokens = random.int(1, MAX_TOKENS);
    const route = isChat ? random.pick(scene.models) : 'filing';
    const {key, usesRevocableKey} = this.chooseKey(team);
    const isKeyed = !isChat && random.int(0, 1) === 0;
    // Some calls repeat an earlier call with its idempotency key, at any host.
    const call = isKeyed ? random.int(0, number) : number;
    const text = isChat
      ? `chat ${number}`
      : `call ${isKeyed ? 'k' : ''}${call}`;
    const idempotencyKey = isKeyed ? `${team.name} ${call}` : undefined;
    const traceId = newRequestId();
    const headers: Record<string, string> = {
      'x-deadline-ms': String(deadlineMs),
      traceparent: `00-${traceId}-${traceId.slice(0, SPAN_ID_DIGITS)}-01`,
    };
    if (idempotencyKey !== undefined) {
      headers['idempotency-key'] = idempotencyKey;
    }
    const sentMs = performance.now();
    const caller = scene.cluster.caller(host);
    const answer = isChat
      ? await caller.chat(text, {route, maxTokens: tokens, key, headers})
      : await caller.service(`${team.name} ${text}`, {key, headers});
    this.entries.push({
      text: isChat ? text : `${team.name} ${text}`,
      kind: isChat ? 'chat' : 'service',
      host,
      team: team.name,
      route,
      isEntitled: key !== UNKNOWN_KEY && scene.canUse(team.name, route),
      usesRevocableKey,
      idempotencyKey,
      tokens,
      deadlineMs,
      sentMs,
      endedMs: performance.now(),
      answer,
      traceId,
      expected: isChat ? expectedText(text, tokens) : undefined,
    });
  }

  private chooseKey(team: ScenarioTeam): {
    key: string;
    usesRevocableKey: boolean;
  } {
    const draw = this.random.int(0, 9);
    if (draw === 0) return {key: UNKNOWN_KEY, usesRevocableKey: false};
    if (draw <= 2) return {key: team.revocableKey, usesRevocableKey: true};
    return {key: team.key, usesRevocableKey: false};
  }
}
