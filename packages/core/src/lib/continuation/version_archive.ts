/** Interface to the lasting record of software versions. @packageDocumentation */

import {Result} from 'neverthrow';
import {PastVersion} from './service_versions.js';

/** The software versions of one service. */
export interface ArchivedVersions {
  service: string;
  /** Versions that its targets ran when this was written. */
  current: string[];
  /** Versions that they had run before. */
  past: PastVersion[];
}

/** Keeps the software versions of services while all hosts are down. */
export abstract class VersionArchive {
  /**
   * Reads the versions of all services.
   *
   * @param signal - cancels the read.
   */
  abstract read(
    signal: AbortSignal,
  ): Promise<Result<ArchivedVersions[], 'unavailable'>>;

  /**
   * Stores the versions of services.
   *
   * @param versions - one entry for each service.
   * @param signal - cancels the write.
   */
  abstract write(
    versions: readonly ArchivedVersions[],
    signal: AbortSignal,
  ): Promise<Result<void, 'unavailable'>>;
}
