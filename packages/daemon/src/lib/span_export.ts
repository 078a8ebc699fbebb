/** Exports tracing spans over OTLP. @packageDocumentation */

import {Logger, Tracing} from '@fuchsiacleat/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
  BatchSpanProcessor,
  ReadableSpan,
  SpanExporter,
} from '@opentelemetry/sdk-trace-base';

const EXPORT_TIMEOUT_MS = 5_000;

/** Result code of a successful export. */
const EXPORT_SUCCEEDED = 0;

type ExportCallback = Parameters<SpanExporter['export']>[1];

/**
 * Creates tracing that exports finished spans in batches.
 *
 * @param otlp - URL of the OTLP collector; undefined disables the export.
 * @param logger - logs failed exports.
 * @returns the tracing.
 */
export function createTracing(
  otlp: string | undefined,
  logger: Logger,
): Tracing {
  if (otlp === undefined) return new Tracing();
  const options = {url: otlp, timeoutMillis: EXPORT_TIMEOUT_MS};
  const exporter = new LoggedSpanExporter(
    new OTLPTraceExporter(options),
    logger,
  );
  return new Tracing([], [new BatchSpanProcessor(exporter)]);
}

/** Logs failed exports; the spans of a failed export are lost. */
class LoggedSpanExporter implements SpanExporter {
  constructor(
    private readonly exporter: SpanExporter,
    private readonly logger: Logger,
  ) {}

  export(spans: ReadableSpan[], onResult: ExportCallback): void {
    this.exporter.export(spans, result => {
      if (result.code !== EXPORT_SUCCEEDED) {
        const reason = result.error?.message ?? 'unknown';
        const lost = spans.length;
        this.logger.warn('span_export_failed', {lost, reason});
      }
      onResult(result);
    });
  }

  shutdown(): Promise<void> {
    return this.exporter.shutdown();
  }
}
