/** The validated configuration that the gateway works with. @packageDocumentation */

import type {ColdSpec} from '../warming/target_warming.js';

/** Kinds of requests, by how often they may run. */
export const REQUEST_KIND = {
  /** The request may run more than once. */
  repeatable: 'repeatable',
  /** The request may run at most once. */
  once: 'once',
  /** Answered by an event stream; runs at most once unless resumable. */
  stream: 'stream',
} as const;

/** One of {@link REQUEST_KIND}. */
export type RequestKind = (typeof REQUEST_KIND)[keyof typeof REQUEST_KIND];

/** A weighted share of a route's traffic that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Weight relative to the other shares of the route. */
  weight: number;
}

/** A route: which requests it matches and how they are handled. */
export interface RouteRule {
  name: string;
  /** Host name, in lower case and without a port. */
  host: string;
  /** Path prefix; begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Whether a broken stream may be continued on another target. */
  isResumable: boolean;
  /** Time limit for the complete answer. */
  timeoutMs: number;
  /** Latency objective for the answer, or for the first event of a stream. */
  objectiveMs: number;
  /** Priority; 0 is the most urgent. */
  priority: number;
  shares: readonly ServiceShare[];
  /** Maximum number of targets on which one request may run. */
  maxTargets: number;
  /** Whether requests need no API key. */
  isPublic: boolean;
}

/** Sizes and load times of a model. */
export interface ModelConfig {
  name: string;
  weightsMb: number;
  /** Load times, by where the weights are stored. */
  storeLoadMs: number;
  diskLoadMs: number;
  memoryLoadMs: number;
  adapterMb: number;
  adapterCount: number;
}

/** Properties of the engines of a service; all its engines are alike. */
export interface EngineConfig {
  /** Requests that a target runs concurrently. */
  slots: number;
  /** Memory of a target for weights and adapters. */
  weightsMb: number;
  adapterSlots: number;
  /**
   * Tokens of running requests that the memory of a target holds; undefined if
   * not stated.
   */
  kvCapacityTokens?: number;
  /** Tokens in one event of a stream, if stated. */
  tokensPerEvent?: number;
  /** Loads per second that the weight store allows for all targets together. */
  storeLoadsPerSecond: number;
  models: ReadonlyMap<string, ModelConfig>;
}

/** A service and the properties of its targets. */
export interface ServiceConfig {
  name: string;
  /** Connections that a target accepts from all hosts together. */
  maxConnections: number;
  /** Set if the targets are model engines. */
  engine: EngineConfig | undefined;
  /** Path at which a target reports its health. */
  healthPath?: string;
  /** Set if targets can be cold. */
  cold?: ColdSpec;
}

/** A team with its API keys and its token rate. */
export interface TeamConfig {
  name: string;
  keys: readonly string[];
  /** Overrides the priority of the route. */
  priority: number | undefined;
  /** Tokens per second over all hosts; 0 for no limit. */
  tokensPerSecond: number;
  burstTokens: number;
  /** Tokens charged for a request that states no token count. */
  defaultRequestTokens: number;
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A complete configuration. */
export interface Deployment {
  /** Version; increases with each configuration, not necessarily by one. */
  version: number;
  routes: readonly RouteRule[];
  services: ReadonlyMap<string, ServiceConfig>;
  teams: ReadonlyMap<string, TeamConfig>;
  limits: CallerLimits;
}
