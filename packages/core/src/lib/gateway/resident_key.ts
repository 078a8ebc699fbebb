/** Keys of models and adapters. @packageDocumentation */

/**
 * Returns the key of a model, or of an adapter of it.
 *
 * @param model - name of the model.
 * @param adapter - name of the adapter, if any.
 */
export function residentKey(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
