/** Listeners whose errors end what they belong to. @packageDocumentation */

/** Returns a listener that does the same as another, and never throws. */
export type ListenerGuard = <Args extends unknown[]>(
  listener: (...args: Args) => void,
) => (...args: Args) => void;

/**
 * Guards the listeners of one connection or tunnel. Node ends the process on an
 * error that a listener throws.
 *
 * @param onFault - called with such an error.
 */
export function createGuard(onFault: (fault: unknown) => void): ListenerGuard {
  return listener =>
    (...args) => {
      try {
        listener(...args);
      } catch (fault) {
        onFault(fault);
      }
    };
}
