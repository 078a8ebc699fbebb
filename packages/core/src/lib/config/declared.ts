/** A checked set of declarations. @packageDocumentation */

import {EngineCapacity, engineCapacityOf} from './engine_capacity.js';
import {Fields, Kind, KINDS} from './declarations.js';

type ObjectsByName = Map<string, Fields<Kind>>;

/** The new fields of an object; undefined if it is removed. */
export interface CheckedChange {
  kind: Kind;
  name: string;
  fields: Fields<Kind> | undefined;
}

/** Typed access to the objects of one configuration. */
export class Declarations {
  private keyNames: Map<string, string[]> | undefined;
  private rateNames: Map<string, string[]> | undefined;
  private capacity: EngineCapacity | undefined;

  constructor(
    private readonly byKind: ReadonlyMap<Kind, ObjectsByName> = new Map(
      KINDS.map(kind => [kind, new Map()]),
    ),
  ) {}

  /**
   * @param kind - the object's kind.
   * @param name - the object's name.
   * @param fields - its checked fields.
   */
  add(kind: Kind, name: string, fields: Fields<Kind>): void {
    this.byKind.get(kind)!.set(name, fields);
    this.keyNames = undefined;
    this.rateNames = undefined;
    this.capacity = undefined;
  }

  /**
   * @param changes - objects to set or remove.
   * @returns the changed set, which shares with this one the kinds that did
   *     not change.
   */
  with(changes: readonly CheckedChange[]): Declarations {
    const byKind = new Map(this.byKind);
    const changed = new Set(changes.map(({kind}) => kind));
    for (const kind of changed) byKind.set(kind, new Map(byKind.get(kind)));
    for (const {kind, name, fields} of changes) {
      if (fields === undefined) byKind.get(kind)!.delete(name);
      else byKind.get(kind)!.set(name, fields);
    }
    const next = new Declarations(byKind);
    if (!changed.has('key')) next.keyNames = this.keyNames;
    if (!changed.has('rate')) next.rateNames = this.rateNames;
    if (!changed.has('target')) next.capacity = this.capacity;
    return next;
  }

  /** @returns whether an object of that kind and name is declared. */
  has(kind: Kind, name: string): boolean {
    return this.byKind.get(kind)!.has(name);
  }

  /** @returns the fields of an object, if it is declared. */
  get<K extends Kind>(kind: K, name: string): Fields<K> | undefined {
    return this.byKind.get(kind)!.get(name) as Fields<K> | undefined;
  }

  /** @returns every object of a kind by name. */
  all<K extends Kind>(kind: K): ReadonlyMap<string, Fields<K>> {
    return this.byKind.get(kind) as unknown as ReadonlyMap<string, Fields<K>>;
  }

  /**
   * @param digest - SHA-256 of a caller's key, in hexadecimal.
   * @returns the team that the key belongs to, if the key is declared.
   */
  teamOfDigest(digest: string): string | undefined {
    const [name] = this.keysOfDigest(digest);
    return name === undefined ? undefined : this.get('key', name)?.team;
  }

  /** @returns names of the keys with that digest; a valid set has one. */
  keysOfDigest(digest: string): readonly string[] {
    this.keyNames ??= groupNames(this.all('key'), key => key.digest);
    return this.keyNames.get(digest) ?? [];
  }

  /** @returns names of the rates of a team; a valid set has at most one. */
  ratesOfTeam(team: string): readonly string[] {
    this.rateNames ??= groupNames(this.all('rate'), rate => rate.team);
    return this.rateNames.get(team) ?? [];
  }

  /** What the declared engines can hold. */
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
  // Hosts may hold the same objects in another order.
  for (const names of groups.values()) names.sort();
  return groups;
}
