/** Bounds of all benchmarks, each with its source. @packageDocumentation */

/** A bound on a metric. */
export interface Bound {
  /** Name of the metric. */
  metric: string;
  limit: number;
  kind: 'at-most' | 'at-least';
  /** The sentence of the users' pages that the bound comes from. */
  source: string;
}

/** Every bound; metrics without one are printed only. */
export const BOUNDS: readonly Bound[] = [];

/**
 * @param bound - the bound.
 * @param value - the measured value.
 * @returns whether the value keeps the bound.
 */
export function keepsBound({kind, limit}: Bound, value: number): boolean {
  return kind === 'at-most' ? value <= limit : value >= limit;
}
