/** Formats traces as text. @packageDocumentation */

import {hrTimeToMilliseconds} from '@opentelemetry/core';
import {ReadableSpan} from '@opentelemetry/sdk-trace-base';

/**
 * Formats a trace as a tree.
 *
 * @param spans - finished spans of one trace.
 * @returns a line for each span, with children indented below their parents.
 */
export function formatTrace(spans: readonly ReadableSpan[]): string[] {
  const ids = new Set(spans.map(span => span.spanContext().spanId));
  const roots = spans.filter(span => !ids.has(parentOf(span) ?? ''));
  return byStart(roots).flatMap(root => formatSpan(root, spans, 0));
}

function formatSpan(
  span: ReadableSpan,
  all: readonly ReadableSpan[],
  depth: number,
): string[] {
  const {spanId} = span.spanContext();
  const children = byStart(all.filter(other => parentOf(other) === spanId));
  const durationMs = hrTimeToMilliseconds(span.duration).toFixed(1);
  const attributes = Object.entries(span.attributes)
    .map(([name, value]) => ` ${name}=${value}`)
    .join('');
  const line = `${'  '.repeat(depth + 1)}${span.name} ${durationMs}ms`;
  return [
    line + attributes,
    ...children.flatMap(child => formatSpan(child, all, depth + 1)),
  ];
}

function parentOf(span: ReadableSpan): string | undefined {
  return span.parentSpanContext?.spanId;
}

function byStart(spans: readonly ReadableSpan[]): ReadableSpan[] {
  return [...spans].sort(
    (a, b) =>
      hrTimeToMilliseconds(a.startTime) - hrTimeToMilliseconds(b.startTime),
  );
}
