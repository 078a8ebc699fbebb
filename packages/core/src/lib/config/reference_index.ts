/** Reverse index of the references between objects. @packageDocumentation */

import {Fields, Kind, REFERENCES, RawObject, objectId} from './declarations.js';

/** A reference from one object to another. */
export interface Reference {
  field: string;
  kind: Kind;
  name: string;
}

/** An object's kind and name. */
export interface ObjectName {
  kind: Kind;
  name: string;
}

const REFERENCES_BY_KIND = new Map<Kind, typeof REFERENCES>();
for (const {from} of REFERENCES) {
  const own = REFERENCES.filter(reference => reference.from === from);
  REFERENCES_BY_KIND.set(from, own);
}

/**
 * Extracts references from the parsed fields of an object.
 *
 * @param kind - kind of the object.
 * @param fields - its parsed fields.
 * @returns the references to other objects.
 */
export function referencesOf(kind: Kind, fields: Fields<Kind>): Reference[] {
  const references: Reference[] = [];
  const values = fields as unknown as Record<string, unknown>;
  for (const {field, to} of REFERENCES_BY_KIND.get(kind) ?? []) {
    const value = values[field];
    if (value === undefined) continue;
    const names = Array.isArray(value) ? value : [value];
    for (const name of names) references.push({field, kind: to, name});
  }
  return references;
}

/**
 * Extracts references from an object whose fields may be invalid.
 *
 * @param object - the object as written.
 * @returns the references to other objects.
 */
export function rawReferencesOf({kind, fields}: RawObject): Reference[] {
  const references: Reference[] = [];
  for (const {field, to} of REFERENCES_BY_KIND.get(kind) ?? []) {
    for (const name of fields[field]?.split(',') ?? []) {
      references.push({field, kind: to, name: name.trim()});
    }
  }
  return references;
}

/** Maps each object of a configuration to the objects that refer to it. */
export class ReferenceIndex {
  // Most objects have a single referrer, for which an array takes far less
  // memory than a map; this matters with tens of thousands of objects.
  private readonly referrers = new Map<string, ObjectName[]>();

  /** Adds the references of an object that is not in the index yet. */
  add(kind: Kind, name: string, fields: Fields<Kind>): void {
    const from = {kind, name};
    for (const reference of referencesOf(kind, fields)) {
      const id = objectId(reference.kind, reference.name);
      const known = this.referrers.get(id);
      if (known === undefined) this.referrers.set(id, [from]);
      else known.push(from);
    }
  }

  /** Removes the references of an object. */
  remove(kind: Kind, name: string, fields: Fields<Kind>): void {
    for (const reference of referencesOf(kind, fields)) {
      const id = objectId(reference.kind, reference.name);
      const known = this.referrers.get(id) ?? [];
      const index = known.findIndex(
        referrer => referrer.kind === kind && referrer.name === name,
      );
      if (index >= 0) known.splice(index, 1);
      if (known.length === 0) this.referrers.delete(id);
    }
  }

  /** Returns the objects that refer to an object. */
  referrersOf(kind: Kind, name: string): readonly ObjectName[] {
    return this.referrers.get(objectId(kind, name)) ?? [];
  }
}
