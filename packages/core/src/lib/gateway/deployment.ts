/** A configuration that is taken whole, as the gateway uses it. @packageDocumentation */

/** What may be done with a request of a route. */
export const REQUEST_KIND = {
  /** May run more than once. */
  repeatable: 'repeatable',
  /** May run at most once. */
  once: 'once',
  /** Answered by events; runs at most once unless the route is resumable. */
  stream: 'stream',
} as const;

/** One of {@link REQUEST_KIND}. */
export type RequestKind = (typeof REQUEST_KIND)[keyof typeof REQUEST_KIND];

/** A part of a route's traffic that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the other shares of the route. */
  weight: number;
}

/** A route: which requests it takes and how they are treated. */
export interface RouteRule {
  name: string;
  /** Host name, in lower case and without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Whether a stream may go on at another target after its last event. */
  isResumable: boolean;
  /** Longest time that a caller is kept waiting for the whole answer. */
  timeoutMs: number;
  /** Latency objective: to the answer, or to the first event of a stream. */
  objectiveMs: number;
  /** Rank between routes; 0 is the most urgent. */
  priority: number;
  shares: readonly ServiceShare[];
  /** Most targets on which one request may run. */
  maxTargets: number;
  /** Whether requests need no key. */
  isPublic: boolean;
}

/** A model as an engine of a service can load it. */
export interface ModelFacts {
  name: string;
  weightsMb: number;
  /** Load times in milliseconds, by where the weights lie. */
  storeLoadMs: number;
  diskLoadMs: number;
  memoryLoadMs: number;
  adapterMb: number;
  adapterCount: number;
}

/** The engines of a service: all are alike. */
export interface EngineFacts {
  /** Requests that run at once on a target. */
  slots: number;
  /** Memory for weights and adapters of a target. */
  weightsMb: number;
  adapterSlots: number;
  /** Loads a second that the weight store grants to all targets together. */
  storeLoadsPerSecond: number;
  models: ReadonlyMap<string, ModelFacts>;
}

/** A service and how its targets are reached. */
export interface ServiceFacts {
  name: string;
  /** Connections that one target accepts from all hosts together. */
  maxConnections: number;
  /** Set if the targets are model engines. */
  engine: EngineFacts | undefined;
}

/** A team with its keys and its rate. */
export interface TeamFacts {
  name: string;
  keys: readonly string[];
  /** Goes before the priority of a route. */
  priority: number | undefined;
  /** Tokens a second over all hosts; 0 for no limit. */
  tokensPerSecond: number;
  burstTokens: number;
  /** What a request without a token count counts as. */
  plainTokens: number;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A whole configuration. */
export interface Deployment {
  /** Rises with each configuration, in uneven steps. */
  version: number;
  routes: readonly RouteRule[];
  services: ReadonlyMap<string, ServiceFacts>;
  teams: ReadonlyMap<string, TeamFacts>;
  limits: CallerLimits;
}
