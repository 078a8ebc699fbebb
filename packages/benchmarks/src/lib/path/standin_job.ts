/** Jobs and results of a worker process with stand-ins. @packageDocumentation */

/** Memory of an engine, in GiB. */
export const ENGINE_MEMORY_GIB = 80;

/** Weights of a version, in GiB; an engine has room for only one. */
export const WEIGHTS_GIB = 50;

/** A host on the platform's host list. */
export interface PlatformHost {
  name: string;
  zone: string;
}

/** Stand-ins to start. */
export type StandinJob =
  | {kind: 'platform'; host: PlatformHost}
  | {
      kind: 'engine';
      name: string;
      weightStore: string;
      slots: number;
      firstTokenMs: number;
      tokenGapMs: number;
    };

/** Base URLs of the platform's stand-ins. */
export interface PlatformUrls {
  log: string;
  hostList: string;
  weightStore: string;
}

/** Base URL of an engine. */
export interface EngineUrl {
  url: string;
}
