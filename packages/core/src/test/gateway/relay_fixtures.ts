/** A relay with simulated callers and targets for tests. @packageDocumentation */

import {ZoneEvacuations} from '../../lib/evacuation/zone_evacuations.js';
import {Result, err, ok} from 'neverthrow';
import {
  CallerFraming,
  FRAMING,
  chooseCallerFraming,
} from '../../lib/gateway/answer_framing.js';
import {
  AnswerHead,
  CallerRequest,
  ModelDemand,
  TokenCount,
} from '../../lib/gateway/caller_request.js';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {RouteRule} from '../../lib/gateway/deployment.js';
import {Freshness} from '../../lib/gateway/freshness.js';
import {ModelFinder, ModelSearch} from '../../lib/gateway/model_finder.js';
import {
  BegunAnswer,
  EndedAnswer,
  EndedSend,
  RelayObserver,
  RequestTrace,
  StalledRun,
} from '../../lib/gateway/relay_observer.js';
import {Relay} from '../../lib/gateway/relay.js';
import {RetryAllowance} from '../../lib/gateway/retry_allowance.js';
import {
  BODY_END,
  BodyEnd,
  NotRunReason,
  SendOptions,
  SendResult,
  TARGET_STATE,
  TargetPort,
  TargetState,
} from '../../lib/gateway/target_port.js';
import {AnswerSignals, NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {
  Loan,
  TeamQuotas,
  TokenLoanClient,
} from '../../lib/gateway/team_quotas.js';
import {
  REFUSAL,
  Refusal,
  UnservedOutcome,
  refuse,
} from '../../lib/requests/outcome.js';
import {PathView} from '../../lib/paths/path_view.js';
import {
  CLOSE_TIME_MS,
  ProcessWatch,
  WATCH_RESULT,
  WatchResult,
} from '../../lib/net/process_watch.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {OriginExchange} from '../../lib/continuation/origin_exchange.js';
import {ServiceVersions} from '../../lib/continuation/service_versions.js';
import {StreamContinuity} from '../../lib/continuation/stream_continuity.js';
import {StreamOrigins} from '../../lib/continuation/stream_origins.js';
import {AnsweredParts} from '../../lib/quarantine/answered_parts.js';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {PromptGuard} from '../../lib/quarantine/prompt_guard.js';
import {RequestContent} from '../../lib/quarantine/request_digest.js';
import {QuarantineExchange} from '../../lib/quarantine/quarantine_exchange.js';
import {TargetEndDetector} from '../../lib/quarantine/target_end_detector.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {SendLoans} from '../../lib/target_limits/send_loans.js';
import {TargetSends} from '../../lib/target_limits/target_sends.js';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {TargetWarming} from '../../lib/warming/target_warming.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {WorkModel} from '../../lib/work/work_model.js';
import {deploymentOf, targetRegistration} from './gateway_fixtures.js';

/** A request that records its answer. */
export class FakeCaller extends CallerRequest {
  override readonly id = 'req-1';
  override readonly host = 'h.example';
  override path = '/x';
  override readonly content: RequestContent;
  override key: string | undefined = 'key';
  override demand: ModelDemand | undefined;
  override tokens: TokenCount | undefined;
  override sharedParts: readonly string[] = [];
  override timeoutMs: number | undefined;
  override lastEventId: string | undefined;
  override resumedId: string | undefined;
  override readonly arrivedMs: number;
  readonly disconnect = new AbortController();
  refusal: Refusal | undefined;
  failure: UnservedOutcome | undefined;
  head: AnswerHead | undefined;
  body = '';
  isEnded = false;
  isAborted = false;

  constructor(clock: ManualClock, body = '') {
    super();
    this.arrivedMs = clock.now();
    const {host, path: requestTarget} = this;
    this.content = {
      method: 'POST',
      host,
      requestTarget,
      body: Buffer.from(body),
    };
  }

  override get signal(): AbortSignal {
    return this.disconnect.signal;
  }

  override refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }

  override fail(unserved: UnservedOutcome): void {
    this.failure = unserved;
  }

  override framingFor({framing}: AnswerHead): CallerFraming {
    return chooseCallerFraming(framing === FRAMING.length, true);
  }

  override writeHead(head: AnswerHead): void {
    this.head = head;
  }

  override write(chunk: Buffer): undefined {
    this.body += String(chunk);
  }

  override end(): void {
    this.isEnded = true;
  }

  override abort(): void {
    this.isAborted = true;
  }
}

/** Simulates how a target handles one request. */
export type TargetBehavior = (
  options: SendOptions,
  clock: ManualClock,
) => Promise<SendResult> | SendResult;

/**
 * Returns an answer whose body consists of the given chunks. It is an event
 * stream if it has an event or no body.
 */
export function answer(
  status: number,
  chunks: string[],
  end: BodyEnd = BODY_END.complete,
  signals: AnswerSignals = NO_SIGNALS,
): SendResult {
  return {
    type: 'answered',
    answer: {
      head: {
        status,
        isEventStream:
          chunks.length === 0 || chunks.some(text => text.includes('id:')),
        framing: FRAMING.chunks,
      },
      signals,
      connection: '1/1',
      read: async sink => {
        for (const part of chunks) await sink(Buffer.from(part));
        return end;
      },
      discard: () => {},
    },
  };
}

/**
 * Returns a behavior that sends each chunk of a stream after a pause, in
 * milliseconds, unless it is cancelled or discarded.
 */
export function timedAnswer(
  chunks: ReadonlyArray<readonly [pauseMs: number, chunk: string]>,
): TargetBehavior {
  return (options, clock) => {
    const ended = new AbortController();
    options.signal.addEventListener('abort', () => ended.abort());
    return {
      type: 'answered',
      answer: {
        head: {status: 200, isEventStream: true, framing: FRAMING.chunks},
        signals: NO_SIGNALS,
        connection: '1/1',
        read: async sink => {
          for (const [pauseMs, chunk] of chunks) {
            if (pauseMs > 0) await clock.sleep(pauseMs, ended.signal);
            if (ended.signal.aborted) return BODY_END.broken;
            await sink(Buffer.from(chunk));
          }
          return BODY_END.complete;
        },
        discard: () => ended.abort(),
      },
    };
  };
}

/** Watches a simulated target. */
class FakeWatch extends ProcessWatch {
  constructor(
    private readonly port: FakePort,
    private readonly clock: ManualClock,
    private readonly id: string,
  ) {
    super();
  }

  override async check(): Promise<WatchResult> {
    const {ended, ending, unwatched} = this.port;
    if (ending.delete(this.id)) ended.add(this.id);
    await this.clock.sleep(CLOSE_TIME_MS);
    if (unwatched.has(this.id)) return WATCH_RESULT.unwatched;
    const hasEnded = ended.has(this.id);
    return hasEnded ? WATCH_RESULT.endedTogether : WATCH_RESULT.outlived;
  }

  override recordReceived(): void {}

  override close(): void {}
}

/** Returns the given results one after the other and records the sends. */
export class FakePort extends TargetPort<FakeCaller> {
  readonly sent: Array<{target: string; options: SendOptions}> = [];
  /** Ids of the targets whose process has ended. */
  readonly ended = new Set<string>();
  /** Ids of the targets whose process ends after it has accepted a connection. */
  readonly ending = new Set<string>();
  /** Ids of the targets whose process can't be watched. */
  readonly unwatched = new Set<string>();
  /** What checks of targets that have not ended show. */
  state: TargetState = TARGET_STATE.silent;

  constructor(
    private readonly clock: ManualClock,
    private readonly behaviors: TargetBehavior[],
  ) {
    super();
  }

  override async send(
    target: KnownTarget,
    unusedReq: FakeCaller,
    options: SendOptions,
  ): Promise<SendResult> {
    const behavior = this.behaviors[this.sent.length];
    this.sent.push({target: target.registration.id, options});
    if (behavior === undefined) return {type: 'lost', reason: 'not played'};
    return behavior(options, this.clock);
  }

  override async isListening({
    registration,
  }: KnownTarget): Promise<boolean | undefined> {
    const {id} = registration;
    if (this.ended.has(id)) return false;
    if (this.ending.delete(id)) this.ended.add(id);
    return true;
  }

  override watch({registration}: KnownTarget): ProcessWatch {
    return new FakeWatch(this, this.clock, registration.id);
  }

  override async probe({registration}: KnownTarget): Promise<TargetState> {
    return this.ended.has(registration.id) ? TARGET_STATE.ended : this.state;
  }
}

/** Returns a guard of a host that is alone. */
function lonePromptGuard(
  clock: ManualClock,
  port: FakePort,
  ledger: PartLedger,
  targets: TargetTable,
): PromptGuard {
  const logger = new SilentLogger();
  const self = {host: 'h', zone: 'z', incarnation: 'h-1'};
  const random = new Random(1);
  const exchange = new QuarantineExchange({
    clock,
    random,
    network: new MemoryHub(clock, random).join(self),
    ledger,
    answered: new AnsweredParts(clock),
    decidingHost: () => self,
    hostCount: () => 1,
    isInformed: () => true,
  });
  const detector = new TargetEndDetector({
    clock,
    logger,
    isListening: target => port.isListening(target),
    onEnded: (id, startedMs) => targets.markEnded(id, startedMs),
    report: end => exchange.reportEnd(end),
  });
  return new PromptGuard({clock, ledger, exchange, detector});
}

/** Returns the continuity of streams on a host that is alone. */
function loneContinuity(
  clock: ManualClock,
  targets: TargetTable,
): StreamContinuity {
  const self = {host: 'h', zone: 'z', incarnation: 'h-1'};
  const origins = new StreamOrigins(clock);
  const versions = new ServiceVersions({clock, targets, listAgeMs: () => 0});
  versions.addPast([]);
  const exchange = new OriginExchange({
    clock,
    network: new MemoryHub(clock, new Random(1)).join(self),
    origins,
    versions,
    passingHost: () => self,
    hostCount: () => 1,
  });
  return new StreamContinuity({origins, versions, exchange});
}

/** Reaches no lender, on the only host. */
class LoneLoans extends SendLoans {
  override readonly hostCount = 1;

  override async requestSend(): Promise<undefined> {}
}

/** Reaches no lender of tokens, on the only host. */
export class NoLoans extends TokenLoanClient {
  override readonly hostCount = 1;

  override async borrow(): Promise<undefined> {}
}

class UnlimitedSource extends TokenLoanClient {
  override readonly hostCount = 1;

  override async borrow(): Promise<Loan> {
    return {tokens: 1_000_000, waitMs: 0};
  }
}

/** Finds no target until the deadline of the request. */
export class NoModels extends ModelFinder {
  readonly notRun: NotRunReason[] = [];

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override async find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>> {
    await this.clock.sleep(search.deadlineMs - this.clock.now(), signal);
    return err(refuse(REFUSAL.noCapacity, 'no model', 700));
  }

  override countRequest(): void {}

  override recordNotRun(
    unusedTarget: KnownTarget,
    unusedDemand: ModelDemand,
    reason: NotRunReason,
  ): void {
    this.notRun.push(reason);
  }
}

/** Always finds the same target. */
export class OneTarget extends NoModels {
  constructor(
    clock: ManualClock,
    private readonly target: () => KnownTarget,
  ) {
    super(clock);
  }

  override async find(): Promise<Result<KnownTarget, Refusal>> {
    return ok(this.target());
  }
}

class RecordingObserver extends RelayObserver {
  readonly traces: RequestTrace[] = [];
  readonly begun: BegunAnswer[] = [];
  readonly endedAnswers: EndedAnswer[] = [];
  readonly ends: EndedSend[] = [];
  readonly stalls: StalledRun[] = [];

  override sendAnswered(): void {}

  override answerBegun(answer: BegunAnswer): void {
    this.begun.push(answer);
  }

  override answerEnded(answer: EndedAnswer): void {
    this.endedAnswers.push(answer);
  }

  override sendEnded(send: EndedSend): void {
    this.ends.push(send);
  }

  override targetAvoided(): void {}

  override targetRefusedConnection(): void {}

  override runStalled(run: StalledRun): void {
    this.stalls.push(run);
  }

  override targetBackingOff(): void {}

  override limitedSend(): void {}

  override sendThrottled(): void {}

  override answerUnsent(): void {}

  override surplusReceived(): void {}

  override requestEnded(story: RequestTrace): void {
    this.traces.push(story);
  }
}

/** A relay with its dependencies. */
export interface RelayWorld {
  clock: ManualClock;
  state: DeploymentState;
  freshness: Freshness;
  targets: TargetTable;
  evacuations: ZoneEvacuations;
  port: FakePort;
  retries: RetryAllowance;
  ledger: PartLedger;
  observer: RecordingObserver;
  relay: Relay<FakeCaller, AnswerHead>;
  /** Runs a request until it is answered or the time limit is reached. */
  run(caller: FakeCaller, limitMs?: number): Promise<void>;
}

/** Options of {@link relayWorld}. */
export interface RelayWorldOptions {
  route: RouteRule;
  behaviors: TargetBehavior[];
  /** Retries in the budget at the start; 10 by default. */
  retries?: number;
  /** Number of targets of the plain service; 2 by default. */
  targetCount?: number;
  models?: (clock: ManualClock, targets: TargetTable) => ModelFinder;
  /** Which targets are cold; by default none is. */
  warming?: TargetWarming;
  /** Lends tokens of teams; without bounds by default. */
  loans?: TokenLoanClient;
  /** Tells lost paths; by default none is checked. */
  paths?: PathView;
}

const MAX_AGE_MS = 4_000;
const STEP_MS = 10;

/** Creates a relay with a fresh configuration and targets. */
export function relayWorld(options: RelayWorldOptions): RelayWorld {
  const clock = new ManualClock();
  const state = new DeploymentState();
  state.applyIfNewer(deploymentOf([options.route]));
  const freshness = new Freshness(clock, MAX_AGE_MS);
  freshness.confirm(clock.now());
  const evacuations = new ZoneEvacuations(clock);
  const targets = new TargetTable(clock, evacuations, options.warming);
  for (let i = 1; i <= (options.targetCount ?? 2); i++) {
    targets.put(targetRegistration({id: `t${i}`, zone: 'a'}), true);
  }
  const port = new FakePort(clock, options.behaviors);
  const observer = new RecordingObserver();
  const quotas = new TeamQuotas(clock, options.loans ?? new UnlimitedSource(), {
    fraction: 0,
    tokens: 0,
    windowMs: 1_000,
  });
  const ledger = new PartLedger(clock, new SilentLogger());
  const maxSaved = options.retries ?? 10;
  const retries = new RetryAllowance({
    clock,
    windowMs: 0,
    currentShape: () => ({perRequest: 1, maxSaved}),
  });
  const relay = new Relay<FakeCaller, AnswerHead>({
    clock,
    random: new Random(1),
    state,
    freshness,
    targets,
    port,
    quotas,
    retries,
    models: options.models?.(clock, targets) ?? new NoModels(clock),
    prompts: lonePromptGuard(clock, port, ledger, targets),
    sends: new TargetSends(clock, new LoneLoans()),
    work: new WorkModel({
      clock,
      random: new Random(1),
      state,
      hostCount: () => 1,
    }),
    continuity: loneContinuity(clock, targets),
    observer,
    tasks: new TaskSupervisor(clock, new SilentLogger()),
    zone: 'a',
    paths: options.paths,
  });
  const run = async (caller: FakeCaller, limitMs = 60_000) => {
    let isDone = false;
    const handled = relay.handle(caller).finally(() => (isDone = true));
    const endMs = clock.now() + limitMs;
    while (!isDone && clock.now() < endMs) await clock.advance(STEP_MS);
    if (isDone) await handled;
  };
  return {
    clock,
    state,
    freshness,
    targets,
    evacuations,
    port,
    retries,
    ledger,
    observer,
    relay,
    run,
  };
}
