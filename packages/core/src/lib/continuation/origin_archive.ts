/** Interface to the lasting copy of the origins of streams. @packageDocumentation */

import {Result} from 'neverthrow';
import {OriginGroup} from './stream_origins.js';

/**
 * Keeps the origins of streams while all hosts are down, for as long as streams
 * can last.
 */
export abstract class OriginArchive {
  /**
   * Reads the streams that were written of late.
   *
   * @param signal - cancels the read.
   */
  abstract read(
    signal: AbortSignal,
  ): Promise<Result<OriginGroup[], 'unavailable'>>;

  /**
   * Adds streams.
   *
   * @param groups - the streams.
   * @param signal - cancels the write.
   */
  abstract write(
    groups: readonly OriginGroup[],
    signal: AbortSignal,
  ): Promise<Result<void, 'unavailable'>>;
}
