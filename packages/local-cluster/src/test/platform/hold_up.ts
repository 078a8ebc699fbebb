/** Holds the event loop of a test up. @packageDocumentation */

/** Time for which the event loop is held up by default, in milliseconds. */
export const HELD_MS = 400;

/**
 * Holds the event loop up between the phase that reads connections and the one
 * that runs timers.
 *
 * @param begin - called before; the connections are not read after it.
 * @param forMs - time to hold it up for, in milliseconds.
 */
export function holdUp(begin: () => void, forMs = HELD_MS): Promise<void> {
  return new Promise(resolve =>
    setImmediate(() => {
      begin();
      const endMs = performance.now() + forMs;
      while (performance.now() < endMs);
      resolve();
    }),
  );
}
