/** Spans for each hop, passed on as W3C trace context. @packageDocumentation */

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

/** Hops that have a span. */
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

/** Starts spans and converts them to and from `traceparent` headers. */
export class Tracing {
  private readonly tracer: Tracer;
  private readonly provider: BasicTracerProvider;

  /**
   * @param exporters - receive every finished span at once.
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
   * @param hop - which part of the way the span covers.
   * @param parent - context of the enclosing span.
   * @param attributes - never a key or a prompt.
   * @returns the span and the context under which its children start.
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
   * Starts a span under one of another process.
   *
   * @param hop - which part of the way the span covers.
   * @param traceparent - the header or field that names the parent.
   */
  startRemote(hop: Hop, traceparent: string | undefined): HopSpan {
    return this.start(hop, contextFromTraceparent(traceparent));
  }

  /** @returns a promise that resolves once finished spans are exported. */
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

  /** @returns the value of a `traceparent` header that names this span. */
  traceparent(): string {
    const {traceId, spanId} = this.span.spanContext();
    return `00-${traceId}-${spanId}-01`;
  }

  /**
   * @param name - attribute name.
   * @param value - never a key or a prompt.
   */
  set(name: string, value: string | number | boolean): void {
    this.span.setAttribute(name, value);
  }

  /** @param error - a short reason if the hop did not succeed. */
  end(error?: string): void {
    if (error !== undefined) {
      this.span.setStatus({code: SpanStatusCode.ERROR, message: error});
    }
    this.span.end();
  }
}

/**
 * @param header - a `traceparent` header, if there was one.
 * @returns the context that it names, or the root context if it is missing or
 *     malformed.
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

/** @returns a random identifier for a request, 32 hexadecimal digits. */
export function newRequestId(): string {
  return randomBytes(16).toString('hex');
}
