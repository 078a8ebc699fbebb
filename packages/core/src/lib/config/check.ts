/** Validation of a set of declarations. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  Fields,
  KIND_SCHEMAS,
  Kind,
  RawObject,
  nameSchema,
  objectId,
} from './declarations.js';
import {DeclarationSet} from './declaration_set.js';
import {Fault} from './fault.js';
import {
  ObjectName,
  Reference,
  ReferenceIndex,
  rawReferencesOf,
  referencesOf,
} from './reference_index.js';
import {checkRules} from './rules.js';

/** Result of a validation: the parsed declarations and every fault found. */
export interface CheckResult {
  /**
   * Objects whose own fields are valid. The set is consistent only if `faults`
   * is empty.
   */
  declared: DeclarationSet;
  faults: Fault[];
}

/**
 * Validates a complete set of objects, including the references between them.
 *
 * @param objects - every object of the set.
 * @returns the parsed declarations and all faults, in the order of the objects.
 */
export function checkDeclarations(objects: Iterable<RawObject>): CheckResult {
  const declared = new DeclarationSet();
  const faults: Fault[] = [];
  const all = [...objects];
  const invalid = new Set<RawObject>();
  for (const object of all) {
    const parsed = parseObject(object);
    if (parsed.isOk()) {
      declared.add(object.kind, object.name, parsed.value);
    } else {
      faults.push(...parsed.error);
      invalid.add(object);
    }
  }
  for (const object of all) {
    const {kind, name} = object;
    const found = invalid.has(object)
      ? checkReferences(declared, objectId(kind, name), rawReferencesOf(object))
      : checkObject(declared, kind, name);
    faults.push(...found);
  }
  return {declared, faults};
}

/**
 * Parses the fields of an object without looking at other objects.
 *
 * @param object - the object as written.
 * @returns the parsed fields, or every fault in them.
 */
export function parseObject(object: RawObject): Result<Fields<Kind>, Fault[]> {
  const id = objectId(object.kind, object.name);
  if (!nameSchema.safeParse(object.name).success) {
    return err([{object: id, message: `"${object.name}" is not a valid name`}]);
  }
  const parsed = KIND_SCHEMAS[object.kind].safeParse(object.fields);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map(issue => {
      const unknown = issue.code === 'unrecognized_keys' ? issue.keys : [];
      const field = unknown[0] ?? issue.path[0]?.toString();
      return {object: id, field, message: issue.message};
    }),
  );
}

/**
 * Validates an object against the rest of the set.
 *
 * @param declared - the complete set.
 * @param kind - kind of the object.
 * @param name - name of the object, which must be declared.
 * @returns every fault of the object.
 */
export function checkObject(
  declared: DeclarationSet,
  kind: Kind,
  name: string,
): Fault[] {
  const fields = declared.get(kind, name)!;
  const object = objectId(kind, name);
  const references = referencesOf(kind, fields);
  const faults = checkReferences(declared, object, references);
  checkRules(declared, kind, name, (field, message) =>
    faults.push({object, field, message}),
  );
  return faults;
}

function checkReferences(
  declared: DeclarationSet,
  object: string,
  references: readonly Reference[],
): Fault[] {
  return references
    .filter(({kind, name}) => !declared.has(kind, name))
    .map(({field, kind, name}) => ({
      object,
      field,
      message: `no valid ${kind} "${name}"`,
    }));
}

/** Kinds whose validation depends on the memory of the engines. */
const SIZED_KINDS: readonly Kind[] = ['model', 'version', 'adapter'];

/**
 * Finds the objects that have to be validated again after a change.
 *
 * @param before - the set before the changes, which must be valid.
 * @param after - the set after the changes.
 * @param referrers - index of the references in `before`.
 * @param changed - the objects that were set or removed.
 * @returns the affected objects that exist in `after`.
 */
export function findAffectedObjects(
  before: DeclarationSet,
  after: DeclarationSet,
  referrers: ReferenceIndex,
  changed: readonly ObjectName[],
): ObjectName[] {
  const affected = new Map<string, ObjectName>();
  const add = ({kind, name}: ObjectName) => {
    if (!after.has(kind, name)) return;
    affected.set(objectId(kind, name), {kind, name});
  };
  const addReferrers = (kind: Kind, name: string) => {
    for (const referrer of referrers.referrersOf(kind, name)) add(referrer);
  };
  for (const object of changed) {
    add(object);
    addReferrers(object.kind, object.name);
    for (const set of [before, after]) addRelated(set, object, addReferrers);
    const key = object.kind === 'key' && after.get('key', object.name);
    if (!key) continue;
    for (const name of after.keysOfDigest(key.digest)) add({kind: 'key', name});
  }
  if (changed.some(({kind}) => kind === 'target')) {
    for (const kind of SIZED_KINDS) {
      for (const name of after.all(kind).keys()) add({kind, name});
    }
  }
  return [...affected.values()];
}

/**
 * Adds objects that depend on an object indirectly: a version affects those
 * that refer to its model, and a rate those that refer to its team.
 */
function addRelated(
  declared: DeclarationSet,
  {kind, name}: ObjectName,
  addReferrers: (kind: Kind, name: string) => void,
): void {
  if (kind === 'version') {
    const version = declared.get('version', name);
    if (version !== undefined) addReferrers('model', version.model);
  }
  if (kind === 'rate') {
    const rate = declared.get('rate', name);
    if (rate !== undefined) addReferrers('team', rate.team);
  }
}
