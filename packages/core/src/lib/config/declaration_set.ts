/** Set of parsed declarations. @packageDocumentation */

import {EngineCapacity, engineCapacityOf} from './engine_capacity.js';
import {Fields, Kind, KINDS} from './declarations.js';

type ObjectsByName = Map<string, Fields<Kind>>;

/** A parsed change of an object; its fields are undefined if it is removed. */
export interface CheckedChange {
  kind: Kind;
  name: string;
  fields: Fields<Kind> | undefined;
}

/**
 * Typed access to the objects of a configuration, with lazily built indexes.
 */
export class DeclarationSet {
  private keyNames: Map<string, string[]> | undefined;
  private rateNames: Map<string, string[]> | undefined;
  private capacity: EngineCapacity | undefined;

  constructor(
    private readonly byKind: ReadonlyMap<Kind, ObjectsByName> = new Map(
      KINDS.map(kind => [kind, new Map()]),
    ),
  ) {}

  /**
   * Adds or replaces an object.
   *
   * @param kind - kind of the object.
   * @param name - name of the object.
   * @param fields - its parsed fields.
   */
  add(kind: Kind, name: string, fields: Fields<Kind>): void {
    this.byKind.get(kind)!.set(name, fields);
    this.keyNames = undefined;
    this.rateNames = undefined;
    this.capacity = undefined;
  }

  /**
   * Returns a copy of this set with changes applied.
   *
   * @param changes - objects to set or remove.
   * @returns the changed set, which shares the maps and indexes of unchanged
   *     kinds with this one.
   */
  with(changes: readonly CheckedChange[]): DeclarationSet {
    const byKind = new Map(this.byKind);
    const changed = new Set(changes.map(({kind}) => kind));
    for (const kind of changed) byKind.set(kind, new Map(byKind.get(kind)));
    for (const {kind, name, fields} of changes) {
      if (fields === undefined) byKind.get(kind)!.delete(name);
      else byKind.get(kind)!.set(name, fields);
    }
    const next = new DeclarationSet(byKind);
    if (!changed.has('key')) next.keyNames = this.keyNames;
    if (!changed.has('rate')) next.rateNames = this.rateNames;
    if (!changed.has('target')) next.capacity = this.capacity;
    return next;
  }

  /** Returns whether an object is declared. */
  has(kind: Kind, name: string): boolean {
    return this.byKind.get(kind)!.has(name);
  }

  /** Returns the fields of an object, or undefined if it is not declared. */
  get<K extends Kind>(kind: K, name: string): Fields<K> | undefined {
    return this.byKind.get(kind)!.get(name) as Fields<K> | undefined;
  }

  /** Returns all objects of a kind, by name. */
  all<K extends Kind>(kind: K): ReadonlyMap<string, Fields<K>> {
    return this.byKind.get(kind) as unknown as ReadonlyMap<string, Fields<K>>;
  }

  /**
   * Looks up the team that a key belongs to.
   *
   * @param digest - SHA-256 digest of a caller's key, in hexadecimal.
   * @returns name of the team, or undefined if the key is not declared.
   */
  teamOfDigest(digest: string): string | undefined {
    const [name] = this.keysOfDigest(digest);
    return name === undefined ? undefined : this.get('key', name)?.team;
  }

  /**
   * Returns the names of the keys with a digest; at most one in a valid set.
   */
  keysOfDigest(digest: string): readonly string[] {
    this.keyNames ??= groupNames(this.all('key'), key => key.digest);
    return this.keyNames.get(digest) ?? [];
  }

  /** Returns the names of the rates of a team; at most one in a valid set. */
  ratesOfTeam(team: string): readonly string[] {
    this.rateNames ??= groupNames(this.all('rate'), rate => rate.team);
    return this.rateNames.get(team) ?? [];
  }

  /** Memory of the declared engines. */
  get engines(): EngineCapacity {
    this.capacity ??= engineCapacityOf(this.all('target').values());
    return this.capacity;
  }
}

function groupNames<T>(
  objects: ReadonlyMap<string, T>,
  keyOf: (fields: T) => string,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const [name, fields] of objects) {
    const key = keyOf(fields);
    const names = groups.get(key);
    if (names === undefined) groups.set(key, [name]);
    else names.push(name);
  }
  // Hosts may hold the same objects in a different order; sorting keeps
  // validation deterministic.
  for (const names of groups.values()) names.sort();
  return groups;
}
