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

/** Bounds of `path`. */
const PATH_BOUNDS: readonly Bound[] = [];

/** Bounds of `configuration`. */
const CONFIGURATION_BOUNDS: readonly Bound[] = [];

/** Bounds of `control`. */
const CONTROL_BOUNDS: readonly Bound[] = [];

/** Bounds of `limits`. */
const LIMITS_BOUNDS: readonly Bound[] = [];

/** Bounds of `placement`. */
const PLACEMENT_BOUNDS: readonly Bound[] = [];

/** Every bound; metrics without one are printed only. */
export const BOUNDS: readonly Bound[] = [
  ...PATH_BOUNDS,
  ...CONFIGURATION_BOUNDS,
  ...CONTROL_BOUNDS,
  ...LIMITS_BOUNDS,
  ...PLACEMENT_BOUNDS,
];

/**
 * @param bound - the bound.
 * @param value - the measured value.
 * @returns whether the value keeps the bound.
 */
export function keepsBound({kind, limit}: Bound, value: number): boolean {
  return kind === 'at-most' ? value <= limit : value >= limit;
}
