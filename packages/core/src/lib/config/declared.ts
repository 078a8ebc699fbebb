/** A checked set of declarations. @packageDocumentation */

import {Fields, Kind, KINDS} from './declarations.js';

/** Typed access to the objects of one configuration. */
export class Declarations {
  private readonly byKind = new Map<Kind, Map<string, Fields<Kind>>>(
    KINDS.map(kind => [kind, new Map()]),
  );
  private keyOwners: Map<string, string> | undefined;

  /**
   * @param kind - the object's kind.
   * @param name - the object's name.
   * @param fields - its checked fields.
   */
  add(kind: Kind, name: string, fields: Fields<Kind>): void {
    this.byKind.get(kind)!.set(name, fields);
    this.keyOwners = undefined;
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
    this.keyOwners ??= new Map(
      [...this.all('key').values()].map(key => [key.digest, key.team]),
    );
    return this.keyOwners.get(digest);
  }
}
