/** Consumes a generator to its end. @packageDocumentation */

/**
 * Consumes the remaining events of a generator whose reader has stopped, so that
 * the work is cleaned up and its result is known.
 *
 * @param run - generator that ends by itself because its signal was aborted.
 * @returns the return value of the generator.
 */
export async function drain<End>(
  run: AsyncGenerator<unknown, End>,
): Promise<End> {
  for (;;) {
    const step = await run.next();
    if (step.done) return step.value;
  }
}
