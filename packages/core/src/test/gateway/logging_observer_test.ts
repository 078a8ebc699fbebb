import {expect} from 'chai';
import {ANSWER_END, ENDED_BY} from '../../lib/gateway/answer_end.js';
import {CALLER_FRAMING, FRAMING} from '../../lib/gateway/answer_framing.js';
import {END_EVIDENCE} from '../../lib/gateway/end_evidence.js';
import {GatewayMetrics} from '../../lib/gateway/gateway_metrics.js';
import {LoggingObserver} from '../../lib/gateway/logging_observer.js';
import {RequestTrace} from '../../lib/gateway/relay_observer.js';
import {Logger, SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

/** Sustained rate limit of the log over all kinds of lines. */
const MAX_LINES_PER_SECOND = 120;

/** Burst limit of the log over all kinds of lines. */
const MAX_BURST_LINES = 360;

class CountingLogger extends SilentLogger {
  readonly events: string[] = [];

  override info(...[event]: Parameters<Logger['info']>): void {
    this.events.push(event);
  }
}

function traceOf(type: 'served' | 'cancelled'): RequestTrace {
  return {
    id: 'r',
    route: 'route',
    kind: 'stream',
    team: 'team',
    service: 'engines',
    model: 'm1',
    parts: [],
    targets: ['t1'],
    softwareVersions: ['v1'],
    lastEventId: undefined,
    resumedId: undefined,
    configVersion: 1,
    configAgeMs: 20,
    waitedMs: 0,
    firstByteMs: 120,
    totalMs: 900,
    status: 200,
    connection: '1/1',
    framing: FRAMING.length,
    callerFraming: FRAMING.length,
    endFinding: END_EVIDENCE.told,
    bodyBytes: 100,
    answerSends: 1,
    outcome: {type},
    answer: type === 'served' ? ANSWER_END.whole : ANSWER_END.none,
    endedBy: undefined,
  };
}

async function valueOf(
  metrics: GatewayMetrics,
  name: string,
  labels: Record<string, string>,
): Promise<number | undefined> {
  const {values} = await metrics.registry.getSingleMetric(name)!.get();
  const wanted = Object.entries(labels);
  const found = values.find(value =>
    wanted.every(([label, text]) => String(value.labels[label]) === text),
  );
  return found?.value;
}

describe('LoggingObserver', () => {
  it('logs answers of several sends and of unknown length among many served requests', () => {
    const clock = new ManualClock();
    const logger = new CountingLogger();
    const observer = new LoggingObserver(clock, logger, new GatewayMetrics());
    for (let i = 0; i < 1_000; i++) observer.requestEnded(traceOf('served'));
    const before = logger.events.length;
    observer.requestEnded({...traceOf('served'), answerSends: 2});
    observer.requestEnded({...traceOf('served'), framing: FRAMING.close});
    expect(logger.events.length - before).to.equal(2);
  });

  it('logs the begin of an answer whose end only its connection tells', () => {
    const logger = new CountingLogger();
    const metrics = new GatewayMetrics();
    const observer = new LoggingObserver(new ManualClock(), logger, metrics);
    const {chunks, close, length} = FRAMING;
    const {held} = CALLER_FRAMING;
    for (const [framing, callerFraming] of [
      [length, length],
      [close, chunks],
      [chunks, held],
    ] as const) {
      const connection = '1/1';
      const answer = {id: 'r', target: 't1', connection};
      observer.answerBegun({...answer, framing, callerFraming});
    }
    expect(logger.events).to.deep.equal(['answer_begun', 'answer_begun']);
  });

  it('logs and counts what made an answer complete whose end only its connection tells', async () => {
    const logger = new CountingLogger();
    const metrics = new GatewayMetrics();
    const observer = new LoggingObserver(new ManualClock(), logger, metrics);
    const finding = END_EVIDENCE.outlived;
    observer.answerEnded({
      id: 'r',
      target: 't1',
      connection: '1/1',
      finding,
      ageMs: 900,
      receivedBytes: 100,
      tailMs: 12,
    });
    expect(logger.events).to.deep.equal(['answer_ended']);
    const name = 'fuchsiacleat_gateway_untold_ends_total';
    expect(await valueOf(metrics, name, {finding})).to.equal(1);
  });

  it('limits served and unserved lines separately and logs the number omitted', async () => {
    const clock = new ManualClock();
    const logger = new CountingLogger();
    const metrics = new GatewayMetrics();
    const journal = new LoggingObserver(clock, logger, metrics);
    const stop = new AbortController();
    void journal.run(clock, stop.signal);
    const seconds = 10;
    let unserved = 0;
    for (let i = 0; i < seconds * 10; i++) {
      for (let j = 0; j < 100; j++) journal.requestEnded(traceOf('served'));
      journal.requestEnded(traceOf('cancelled'));
      unserved += 1;
      await clock.advance(100);
    }
    stop.abort();
    const lines = logger.events.filter(event => event === 'request').length;
    const bound = MAX_BURST_LINES + seconds * MAX_LINES_PER_SECOND;
    expect(lines).to.be.within(unserved, bound);
    expect(logger.events).to.include('request_lines_omitted');
    const omitted = await valueOf(
      metrics,
      'fuchsiacleat_gateway_log_lines_omitted_total',
      {},
    );
    expect(omitted).to.equal(seconds * 1_010 - lines);
  });

  it('counts every request, including those without a log line', async () => {
    const metrics = new GatewayMetrics();
    const journal = new LoggingObserver(
      new ManualClock(),
      new SilentLogger(),
      metrics,
    );
    for (let i = 0; i < 1_000; i++) journal.requestEnded(traceOf('served'));
    const requests = 'fuchsiacleat_gateway_requests_total';
    const labels = {kind: 'stream', outcome: 'served'};
    expect(await valueOf(metrics, requests, labels)).to.equal(1_000);
    const first = 'fuchsiacleat_gateway_first_byte_seconds';
    const under = {kind: 'stream', le: '0.1'};
    expect(await valueOf(metrics, first, under)).to.not.equal(1_000);
    const upTo = {kind: 'stream', le: '0.25'};
    expect(await valueOf(metrics, first, upTo)).to.equal(1_000);
  });

  it('counts sends by target, with one label for all targets beyond the limit', async () => {
    const metrics = new GatewayMetrics();
    const journal = new LoggingObserver(
      new ManualClock(),
      new SilentLogger(),
      metrics,
    );
    journal.sendAnswered('t0');
    journal.sendEnded({
      id: 'r',
      target: 't0',
      end: 'lost',
      endedBy: ENDED_BY.target,
      detail: 'reset',
      ageMs: 5,
      receivedBytes: 0,
      parts: [],
    });
    for (let i = 0; i < 1_000; i++) journal.sendAnswered(`t${i}`);
    const sends = 'fuchsiacleat_gateway_target_sends_total';
    const answered = {target: 't0', end: 'answered'};
    expect(await valueOf(metrics, sends, answered)).to.equal(2);
    const lost = {target: 't0', end: 'lost'};
    expect(await valueOf(metrics, sends, lost)).to.equal(1);
    const other = {target: 'other', end: 'answered'};
    expect(await valueOf(metrics, sends, other)).to.equal(1_000 - 256);
  });

  it('counts every unsent answer and limits their lines', async () => {
    const logger = new CountingLogger();
    const metrics = new GatewayMetrics();
    const journal = new LoggingObserver(new ManualClock(), logger, metrics);
    for (let i = 0; i < 1_000; i++) {
      journal.answerUnsent({
        id: 'r',
        unsentBytes: 10,
        closedBy: 'host',
        isStopping: true,
      });
    }
    const unsent = 'fuchsiacleat_gateway_answers_unsent_total';
    const byHost = {closed_by: 'host'};
    expect(await valueOf(metrics, unsent, byHost)).to.equal(1_000);
    expect(logger.events.length).to.be.within(1, MAX_BURST_LINES);
    expect(new Set(logger.events)).to.deep.equal(new Set(['answer_unsent']));
  });

  it('reports sends to limited targets together', async () => {
    const clock = new ManualClock();
    const lines: Array<Record<string, unknown>> = [];
    const logger = new (class extends SilentLogger {
      override info(...[event, fields]: Parameters<Logger['info']>): void {
        lines.push({event, ...fields});
      }
    })();
    const metrics = new GatewayMetrics();
    const journal = new LoggingObserver(clock, logger, metrics);
    void journal.run(clock, new AbortController().signal);
    await clock.advance(10);
    journal.limitedSend('t1', false);
    journal.limitedSend('t1', true);
    journal.sendThrottled('t1');
    await clock.advance(9_000);
    expect(lines).to.deep.equal([
      {
        event: 'target_limit_sends',
        target: 't1',
        sends: 2,
        repeats: 1,
        throttled: 1,
        over_ms: 4_000,
      },
    ]);
    const name = 'fuchsiacleat_gateway_limited_sends_total';
    expect(await valueOf(metrics, name, {result: 'sent'})).to.equal(2);
    expect(await valueOf(metrics, name, {result: 'throttled'})).to.equal(1);
  });

  it('reports what was predicted for a send beside what was observed', async () => {
    const lines: Array<Record<string, unknown>> = [];
    const logger = new (class extends SilentLogger {
      override info(...[event, fields]: Parameters<Logger['info']>): void {
        lines.push({event, ...fields});
      }
    })();
    const metrics = new GatewayMetrics();
    const observer = new LoggingObserver(new ManualClock(), logger, metrics);
    const prediction = {
      firstEventMs: 120.4,
      pauseMs: 44.6,
      fitsMemory: true,
      confidence: 1,
    };
    const work = {prediction, firstEventMs: 181};
    observer.requestEnded({...traceOf('served'), work});
    expect(lines[0]).to.include({
      predicted_first_ms: 120,
      target_first_ms: 181,
      predicted_pause_ms: 45,
    });
    const name = 'fuchsiacleat_gateway_observed_first_event_seconds_sum';
    expect(await metrics.registry.metrics()).to.include(`${name} 0.181`);
  });
});
