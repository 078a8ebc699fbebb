/** Computes the difference between two sets of declarations. @packageDocumentation */

import {Change, RawObject, objectId} from '@fuchsiacleat/core';
import {isDeepStrictEqual} from 'node:util';

/**
 * Computes the changes that turn one set of declarations into another.
 *
 * @param current - objects of the configuration in force.
 * @param desired - objects of the folder.
 * @returns the changes, sorted by the kind and name of their object.
 */
export function computeDelta(
  current: readonly RawObject[],
  desired: readonly RawObject[],
): Change[] {
  const before = indexById(current);
  const after = indexById(desired);
  const changes: Change[] = [];
  for (const [id, object] of after) {
    const known = before.get(id);
    if (known && isDeepStrictEqual(known.fields, object.fields)) continue;
    changes.push({...object});
  }
  for (const [id, {kind, name}] of before) {
    if (!after.has(id)) changes.push({kind, name, fields: null});
  }
  return changes.sort((a, b) => (idOf(a) < idOf(b) ? -1 : 1));
}

function indexById(objects: readonly RawObject[]): Map<string, RawObject> {
  return new Map(objects.map(object => [idOf(object), object]));
}

function idOf({kind, name}: Pick<RawObject, 'kind' | 'name'>): string {
  return objectId(kind, name);
}
