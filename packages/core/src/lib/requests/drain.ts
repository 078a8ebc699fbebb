/** Runs a generator to its end. @packageDocumentation */

/**
 * Runs on after the reader of the events has gone, so that the work is cleaned
 * up and its end is known.
 *
 * @param run - work that ends by itself, since its signal was aborted.
 * @returns what the generator returns.
 */
export async function drain<End>(
  run: AsyncGenerator<unknown, End>,
): Promise<End> {
  for (;;) {
    const step = await run.next();
    if (step.done) return step.value;
  }
}
