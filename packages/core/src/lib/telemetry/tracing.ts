/** Tracing of request hops with W3C trace context propagation. @packageDocumentation */

import {randomBytes} from 'node:crypto';
import {
  Context,
  ROOT_CONTEXT,
  Span,
  SpanStatusCode,
  TraceFlags,
  Tracer,
  trace,
} from '@opentelemetry/api';
import {
  BasicTracerProvider,
  SimpleSpanProcessor,
  SpanExporter,
  SpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/** Request stages that are recorded as spans. */
export const HOP = {
  request: 'request',
  authenticate: 'authenticate',
  limit: 'limit',
  queue: 'queue',
  route: 'route',
  peer: 'peer',
  target: 'target',
} as const;

/** One of {@link HOP}. */
export type Hop = (typeof HOP)[keyof typeof HOP];

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

/** Starts spans, either locally or from a `traceparent` header. */
export class Tracing {
  private readonly tracer: Tracer;
  private readonly provider: BasicTracerProvider;

  /**
   * @param exporters - receive every span as soon as it ends.
   * @param processors - receive every span.
   */
  constructor(
    exporters: readonly SpanExporter[] = [],
    processors: readonly SpanProcessor[] = [],
  ) {
    const simple = exporters.map(e => new SimpleSpanProcessor(e));
    this.provider = new BasicTracerProvider({
      spanProcessors: [...simple, ...processors],
    });
    this.tracer = this.provider.getTracer('fuchsiacleat');
  }

  /**
   * Starts a span.
   *
   * @param hop - request stage that the span covers.
   * @param parent - context of the parent span.
   * @param attributes - span attributes; must not contain a key or a prompt.
   * @returns the span with the context for its child spans.
   */
  start(
    hop: Hop,
    parent: Context = ROOT_CONTEXT,
    attributes: Record<string, string | number | boolean> = {},
  ): HopSpan {
    const span = this.tracer.startSpan(hop, {attributes}, parent);
    return new HopSpan(span, trace.setSpan(parent, span));
  }

  /**
   * Starts a span whose parent belongs to another process.
   *
   * @param hop - request stage that the span covers.
   * @param traceparent - value of the header or field that names the parent.
   */
  startRemote(hop: Hop, traceparent: string | undefined): HopSpan {
    return this.start(hop, contextFromTraceparent(traceparent));
  }

  /** Waits until all ended spans are exported. */
  async flush(): Promise<void> {
    await this.provider.forceFlush();
  }
}

/** A running span. */
export class HopSpan {
  constructor(
    private readonly span: Span,
    readonly context: Context,
  ) {}

  /** Returns the value of a `traceparent` header that names this span. */
  traceparent(): string {
    const {traceId, spanId} = this.span.spanContext();
    return `00-${traceId}-${spanId}-01`;
  }

  /**
   * Sets an attribute of the span.
   *
   * @param name - name of the attribute.
   * @param value - value of the attribute; never a key or a prompt.
   */
  set(name: string, value: string | number | boolean): void {
    this.span.setAttribute(name, value);
  }

  /**
   * Ends the span.
   *
   * @param error - a short reason if the hop failed.
   */
  end(error?: string): void {
    if (error !== undefined) {
      this.span.setStatus({code: SpanStatusCode.ERROR, message: error});
    }
    this.span.end();
  }
}

/**
 * Parses a `traceparent` header.
 *
 * @param header - value of the header, if present.
 * @returns the context that the header names, or the root context if the header
 *     is missing or malformed.
 */
export function contextFromTraceparent(header: string | undefined): Context {
  const match = TRACEPARENT.exec(header ?? '');
  if (match === null) return ROOT_CONTEXT;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: match[1],
    spanId: match[2],
    traceFlags: parseInt(match[3], 16) & TraceFlags.SAMPLED,
    isRemote: true,
  });
}

/** Generates a random request id of 32 hexadecimal digits. */
export function newRequestId(): string {
  return randomBytes(16).toString('hex');
}
