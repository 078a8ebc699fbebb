/** Waits until connections have been read. @packageDocumentation */

import {setImmediate} from 'node:timers/promises';

/** Longest turn of the event loop after which all connections count as read. */
const MAX_TURN_MS = 100;

/** Longest wait for such a turn. */
const MAX_WAIT_MS = 1_000;

/**
 * Waits for a turn of the event loop that reads the open connections and takes
 * no longer than {@link MAX_TURN_MS}. A process that was held up runs the timers
 * that fell due meanwhile before it reads what its connections have received. A
 * turn accepts one connection only.
 *
 * @returns whether there was such a turn within {@link MAX_WAIT_MS}.
 */
export async function whenConnectionsRead(): Promise<boolean> {
  const endMs = performance.now() + MAX_WAIT_MS;
  // Ends the current turn, whose reading phase may be over.
  await setImmediate();
  for (;;) {
    const startMs = performance.now();
    await setImmediate();
    const nowMs = performance.now();
    if (nowMs - startMs <= MAX_TURN_MS) return true;
    if (nowMs >= endMs) return false;
  }
}
