/** Interface to the lasting copy of the origins of streams. @packageDocumentation */

import {Archive} from '../archive/archive.js';
import {OriginGroup} from './stream_origins.js';

/**
 * Keeps the origins of streams while all hosts are down, for as long as streams
 * can last. A write adds streams.
 */
export abstract class OriginArchive extends Archive<
  OriginGroup[],
  OriginGroup
> {}
