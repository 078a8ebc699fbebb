/** Why a helper host does not provide a tunnel. @packageDocumentation */

/** Reasons of refusals. No byte reaches the target after any of them. */
export const TUNNEL_REFUSAL = {
  /** The address is not that of a target. */
  unknownTarget: 'unknown-target',
  /** The helper host has as many tunnels as it may have. */
  full: 'full',
  /** The helper host stops. */
  stopping: 'stopping',
  /** The helper host doesn't reach targets itself. */
  noPath: 'no-path',
  /** The helper host can't open a connection, for lack of descriptors for example. */
  noResources: 'no-resources',
  /** The target does not listen. */
  targetRefused: 'target-refused',
  /** The target did not accept the connection in time. */
  targetUnreachable: 'target-unreachable',
  /** The request is none that the helper host understands. */
  malformed: 'malformed',
  /** The request is no CONNECT. */
  method: 'method',
} as const;

/** One of {@link TUNNEL_REFUSAL}. */
export type TunnelRefusal =
  (typeof TUNNEL_REFUSAL)[keyof typeof TUNNEL_REFUSAL];

/** HTTP status of a tunnel that has been established. */
export const ESTABLISHED = 200;

/** HTTP status of each refusal. */
export const REFUSAL_STATUS: Readonly<Record<TunnelRefusal, number>> = {
  [TUNNEL_REFUSAL.malformed]: 400,
  [TUNNEL_REFUSAL.unknownTarget]: 403,
  [TUNNEL_REFUSAL.method]: 405,
  [TUNNEL_REFUSAL.targetRefused]: 502,
  [TUNNEL_REFUSAL.full]: 503,
  [TUNNEL_REFUSAL.stopping]: 503,
  [TUNNEL_REFUSAL.noPath]: 503,
  [TUNNEL_REFUSAL.noResources]: 503,
  [TUNNEL_REFUSAL.targetUnreachable]: 504,
};
