/** Index of the targets that hold a model. @packageDocumentation */

import {ModelDemand} from './caller_request.js';
import {residentKey} from './resident_key.js';
import type {KnownTarget} from './target_table.js';

/**
 * Keeps the targets of each service that hold a model, so that a choice does not
 * go through all targets. Any change of what targets hold clears it, which is
 * rare beside requests.
 */
export class HolderIndex {
  private readonly byKey = new Map<string, readonly KnownTarget[]>();

  /**
   * Returns the targets that hold a model.
   *
   * @param service - name of the service.
   * @param targets - the targets of the service.
   * @param demand - the model.
   */
  find(
    service: string,
    targets: readonly KnownTarget[],
    {model, adapter}: ModelDemand,
  ): readonly KnownTarget[] {
    const key = `${service} ${residentKey(model, adapter)}`;
    let holders = this.byKey.get(key);
    if (holders === undefined) {
      holders = targets.filter(target => target.holds(model, adapter));
      this.byKey.set(key, holders);
    }
    return holders;
  }

  /** Forgets all, as targets or what they hold have changed. */
  clear(): void {
    this.byKey.clear();
  }
}
