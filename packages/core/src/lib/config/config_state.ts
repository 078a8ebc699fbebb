/** The configuration aggregate: one deterministic rule for all hosts. @packageDocumentation */

import {checkDeclarations} from './check.js';
import {Declarations} from './declared.js';
import {RawObject, objectId} from './declarations.js';
import {formatFault} from './fault.js';
import {Publication, Verdict} from './publication.js';

interface VersionedObject {
  object: RawObject;
  changedIn: number;
}

/** An entry of the history of versions. */
export interface HistoryEntry {
  version: number;
  message: string;
  changes: Publication['changes'];
  /** What each changed object was before; null if it did not exist. */
  previous: Publication['changes'];
  /** Milliseconds since the Unix epoch at which the log took the record. */
  atMs: number;
}

/**
 * The configuration at one version.
 *
 * Every host that applies the same records in the same order holds the same
 * state and gives the same verdicts.
 */
export class ConfigState {
  private current = 0;
  private objects = new Map<string, VersionedObject>();
  private removedIn = new Map<string, number>();
  private checked = new Declarations();
  private readonly entries: HistoryEntry[] = [];

  /** The version in force; 0 before the first publication. */
  get version(): number {
    return this.current;
  }

  /** The checked objects of this version. */
  get declared(): Declarations {
    return this.checked;
  }

  /** Accepted versions, oldest first. */
  get history(): readonly HistoryEntry[] {
    return this.entries;
  }

  /** @returns every object as written, sorted by identity. */
  rawObjects(): RawObject[] {
    return [...this.objects.entries()]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([, versioned]) => versioned.object);
  }

  /**
   * Decides a publication at its place in the log.
   *
   * It is accepted if nothing that it touches changed since its base and the
   * resulting whole is valid.
   *
   * @param publication - the delta.
   * @param atMs - when the log took the record, in epoch milliseconds.
   * @returns the verdict; a rejection changes nothing.
   */
  apply(publication: Publication, atMs: number): Verdict {
    const reasons = this.conflicts(publication);
    if (reasons.length > 0) return this.reject(reasons);
    const next = this.objectsAfter(publication);
    const raw = [...next.values()].map(versioned => versioned.object);
    const {declared, faults} = checkDeclarations(raw);
    if (faults.length > 0) return this.reject(faults.map(formatFault));
    this.accept(publication, next, declared, atMs);
    return {accepted: true, version: this.current};
  }

  private reject(reasons: string[]): Verdict {
    return {accepted: false, version: this.current, reasons};
  }

  private conflicts({base, changes}: Publication): string[] {
    if (base > this.current) {
      return [`base ${base} is newer than version ${this.current}`];
    }
    const reasons: string[] = [];
    for (const {kind, name} of changes) {
      const id = objectId(kind, name);
      const changedIn =
        this.objects.get(id)?.changedIn ?? this.removedIn.get(id) ?? 0;
      if (changedIn <= base) continue;
      reasons.push(`${id} was changed in version ${changedIn}, after ${base}`);
    }
    return reasons;
  }

  private objectsAfter({changes}: Publication): Map<string, VersionedObject> {
    const next = new Map(this.objects);
    const changedIn = this.current + 1;
    for (const {kind, name, fields} of changes) {
      const id = objectId(kind, name);
      if (fields === null) next.delete(id);
      else next.set(id, {object: {kind, name, fields}, changedIn});
    }
    return next;
  }

  private accept(
    publication: Publication,
    next: Map<string, VersionedObject>,
    declared: Declarations,
    atMs: number,
  ): void {
    const {changes, message} = publication;
    const previous = changes.map(({kind, name}) => {
      const before = this.objects.get(objectId(kind, name));
      return {kind, name, fields: before?.object.fields ?? null};
    });
    this.current += 1;
    this.objects = next;
    this.checked = declared;
    for (const {kind, name, fields} of changes) {
      const id = objectId(kind, name);
      if (fields === null) this.removedIn.set(id, this.current);
      else this.removedIn.delete(id);
    }
    const version = this.current;
    this.entries.push({version, message, changes, previous, atMs});
  }
}
