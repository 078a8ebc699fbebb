/** Decides where streams may go on. @packageDocumentation */

import {OriginExchange} from './origin_exchange.js';
import {ServiceVersions, UNKNOWN_VERSION} from './service_versions.js';
import {StreamOrigin, StreamOrigins, streamKey} from './stream_origins.js';

/** Time by which a stream may outlast the time limit of its route. */
const LIFETIME_MARGIN_MS = 5_000;

/** A stream that a caller takes up again. */
export interface ResumedStream {
  /** Name of the team that sends the request. */
  team: string | undefined;
  /** Id of the attempt that brought the first event, if the caller names it. */
  resumedId: string | undefined;
  /** Service that the request would go to as a new one. */
  service: string;
  /** Time limit of the route, in milliseconds. */
  timeoutMs: number;
}

/** Dependencies of {@link StreamContinuity}. */
export interface StreamContinuityParts {
  origins: StreamOrigins;
  versions: ServiceVersions;
  exchange: OriginExchange;
}

/**
 * Finds the software version that a stream has begun at, as only targets of
 * that version can go on with it.
 */
export class StreamContinuity {
  /** @param parts - see {@link StreamContinuityParts}. */
  constructor(private readonly parts: StreamContinuityParts) {}

  /**
   * Records that a stream has begun.
   *
   * @param team - name of the team that it is sent to.
   * @param attemptId - id of the request.
   * @param service - the service that began it.
   * @param softwareVersion - the version that began it, if it is known.
   */
  recordBegun(
    team: string | undefined,
    attemptId: string,
    service: string,
    softwareVersion: string | undefined,
  ): void {
    const {exchange, versions} = this.parts;
    if (softwareVersion === undefined) versions.recordUnknownRun(service);
    exchange.recordBegun(streamKey(team, attemptId), {
      service,
      softwareVersion: softwareVersion ?? UNKNOWN_VERSION,
    });
  }

  /**
   * Finds the origin of a stream that a caller takes up again.
   *
   * @param stream - see {@link ResumedStream}.
   * @returns the origin; undefined if its version is not known, or if the stream
   *     may have begun at several.
   */
  originOf({
    resumedId,
    service,
    team,
    timeoutMs,
  }: ResumedStream): StreamOrigin | undefined {
    const {origins, versions} = this.parts;
    if (resumedId !== undefined) {
      const known = origins.get(streamKey(team, resumedId));
      if (known?.softwareVersion === UNKNOWN_VERSION) return undefined;
      if (known !== undefined) return known;
    }
    const lifetimeMs = timeoutMs + LIFETIME_MARGIN_MS;
    const softwareVersion = versions.soleVersion(service, lifetimeMs);
    if (softwareVersion === undefined) return undefined;
    return {service, softwareVersion};
  }
}
