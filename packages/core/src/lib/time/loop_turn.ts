/** Waits until connections have been read. @packageDocumentation */

import {setImmediate} from 'node:timers/promises';

/** Longest turn of the event loop after which all connections count as read. */
const MAX_TURN_MS = 100;

/**
 * Waits for a turn of the event loop that reads all connections and takes no
 * longer than {@link MAX_TURN_MS}. A process that was held up runs the timers
 * that fell due meanwhile before it reads what its connections have received.
 *
 * @returns once no unread byte has been waiting for longer than that.
 */
export async function readConnections(): Promise<void> {
  // Ends the current turn, whose reading phase may be over.
  await setImmediate();
  for (;;) {
    const startMs = performance.now();
    await setImmediate();
    if (performance.now() - startMs <= MAX_TURN_MS) return;
  }
}
