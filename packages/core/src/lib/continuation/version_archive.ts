/** Interface to the lasting record of software versions. @packageDocumentation */

import {Archive} from '../archive/archive.js';
import {PastVersion} from './service_versions.js';

/** The software versions of one service. */
export interface ArchivedVersions {
  service: string;
  /** Newest era of the archive that the writer knew. */
  era: number;
  /** Versions that its targets ran when this was written. */
  current: string[];
  /** Versions that they had run before. */
  past: PastVersion[];
}

/** Keeps the software versions of services while all hosts are down. */
export abstract class VersionArchive extends Archive<
  ArchivedVersions[],
  ArchivedVersions
> {}
