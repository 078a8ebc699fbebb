/** Configuration state machine that all hosts apply deterministically. @packageDocumentation */

import {z} from 'zod';
import {SnapshotState} from '../platform/stream_snapshot.js';
import {findAffectedObjects, checkObject, parseObject} from './check.js';
import {ConfigHistory, HistoryEntry, historySchema} from './config_history.js';
import {KINDS, Kind, RawObject, objectId} from './declarations.js';
import {CheckedChange, DeclarationSet} from './declaration_set.js';
import {Fault, formatFault} from './fault.js';
import {Change, Publication, Verdict} from './publication.js';
import {ReferenceIndex} from './reference_index.js';

const versionedObjectSchema = z.object({
  kind: z.enum(KINDS as [Kind, ...Kind[]]),
  name: z.string(),
  /** Unparsed fields; null if the object was removed. */
  fields: z.record(z.string(), z.string()).nullable(),
  changedIn: z.number().int(),
  author: z.string().optional(),
});

/**
 * Latest change of an object. Removed objects are kept too, so that a
 * publication with an older base is recognized as a conflict.
 */
type VersionedObject = z.output<typeof versionedObjectSchema>;

const capturedStateSchema = z.object({
  version: z.number().int().min(0),
  objects: z.array(versionedObjectSchema),
  history: historySchema,
});

/** Position of a publication in the log. */
export interface PublicationPosition {
  /** Id of the log record. */
  id?: string;
  offset?: number;
  /**
   * False shortly after the log lost records, while hosts may still restore a
   * newer configuration.
   */
  settled?: boolean;
}

/**
 * Replicated configuration state.
 *
 * Every host that applies the same records in the same order reaches the same
 * state and the same verdicts. Versions increase monotonically and are never
 * reused, even after the log has lost its records: a version is at least the
 * offset of its record plus one.
 */
export class ConfigState extends SnapshotState {
  private currentVersion = 0;
  private objects = new Map<string, VersionedObject>();
  private declarations = new DeclarationSet();
  private referrers = new ReferenceIndex();
  private readonly configHistory = new ConfigHistory();

  /** Current version; 0 before the first publication. */
  override get version(): number {
    return this.currentVersion;
  }

  /** Validated objects of the current version. */
  get declared(): DeclarationSet {
    return this.declarations;
  }

  /** Latest accepted versions, oldest first. */
  get history(): readonly HistoryEntry[] {
    return this.configHistory.entries;
  }

  /** Returns every object with its unparsed fields, sorted by id. */
  rawObjects(): RawObject[] {
    const raw: Array<[string, RawObject]> = [];
    for (const [id, {kind, name, fields}] of this.objects) {
      if (fields !== null) raw.push([id, {kind, name, fields}]);
    }
    return raw.sort(([a], [b]) => (a < b ? -1 : 1)).map(([, object]) => object);
  }

  /**
   * Returns the verdict on a publication by the id of its record, or undefined
   * if it is no longer kept.
   */
  verdictOf(id: string): Verdict | undefined {
    return this.configHistory.verdictOf(id);
  }

  /**
   * Accepts or rejects a publication at its position in the log.
   *
   * A publication is accepted if none of the objects that it changes has
   * changed since its base version and the resulting set of objects is valid.
   *
   * @param publication - the changes and their base version.
   * @param atMs - time at which the log accepted the record, in epoch
   *     milliseconds.
   * @param position - see {@link PublicationPosition}.
   * @returns the verdict; a rejection leaves the state unchanged.
   */
  apply(
    publication: Publication,
    atMs: number,
    position: PublicationPosition = {},
  ): Verdict {
    const {id, offset = this.currentVersion, settled = true} = position;
    const verdict = settled
      ? this.decide(publication, atMs, offset)
      : this.reject([
          'the log has lost its records and hosts are putting the ' +
            'configuration back; publish again in some seconds',
        ]);
    if (id !== undefined) this.configHistory.addVerdict(id, verdict);
    return verdict;
  }

  override capture(): unknown {
    return {
      version: this.currentVersion,
      objects: [...this.objects.values()],
      history: this.configHistory.capture(),
    } satisfies z.output<typeof capturedStateSchema>;
  }

  override restore(state: unknown): boolean {
    const captured = capturedStateSchema.safeParse(state);
    if (!captured.success) return false;
    const {version, objects, history} = captured.data;
    const declared = new DeclarationSet();
    const referrers = new ReferenceIndex();
    for (const {kind, name, fields} of objects) {
      if (fields === null) continue;
      const parsed = parseObject({kind, name, fields});
      if (parsed.isErr()) return false;
      declared.add(kind, name, parsed.value);
      referrers.add(kind, name, parsed.value);
    }
    this.currentVersion = version;
    this.objects = new Map(
      objects.map(object => [objectId(object.kind, object.name), object]),
    );
    this.declarations = declared;
    this.referrers = referrers;
    this.configHistory.restore(history);
    return true;
  }

  private decide(
    publication: Publication,
    atMs: number,
    offset: number,
  ): Verdict {
    const conflictReasons = this.findConflicts(publication);
    if (conflictReasons.length > 0) return this.reject(conflictReasons);
    const {changes, faults} = parseChanges(publication.changes);
    if (faults.length > 0) return this.reject(faults.map(formatFault));
    const next = this.declarations.with(changes);
    const affected = findAffectedObjects(
      this.declarations,
      next,
      this.referrers,
      changes,
    );
    for (const {kind, name} of affected) {
      faults.push(...checkObject(next, kind, name));
    }
    if (faults.length > 0) return this.reject(faults.map(formatFault).sort());
    this.accept(publication, changes, next, {
      version: Math.max(this.currentVersion, offset) + 1,
      atMs,
    });
    return {accepted: true, version: this.currentVersion};
  }

  private reject(reasons: string[]): Verdict {
    return {accepted: false, version: this.currentVersion, reasons};
  }

  private findConflicts({base, changes}: Publication): string[] {
    if (base > this.currentVersion) {
      return [`base ${base} is newer than version ${this.currentVersion}`];
    }
    const reasons: string[] = [];
    for (const {kind, name} of changes) {
      const id = objectId(kind, name);
      const known = this.objects.get(id);
      if (known === undefined || known.changedIn <= base) continue;
      const {changedIn, author = 'an unnamed author', fields} = known;
      const action = fields === null ? 'removed' : 'changed';
      reasons.push(
        `${id} was ${action} in version ${changedIn} by ${author}, ` +
          `after base ${base}`,
      );
    }
    return reasons;
  }

  private accept(
    {changes, message, author}: Publication,
    checkedChanges: readonly CheckedChange[],
    next: DeclarationSet,
    {version, atMs}: {version: number; atMs: number},
  ): void {
    const previous = changes.map(({kind, name}) => {
      const before = this.objects.get(objectId(kind, name));
      return {kind, name, fields: before?.fields ?? null};
    });
    for (const {kind, name, fields} of checkedChanges) {
      const before = this.declarations.get(kind, name);
      if (before !== undefined) this.referrers.remove(kind, name, before);
      if (fields !== undefined) this.referrers.add(kind, name, fields);
    }
    for (const {kind, name, fields} of changes) {
      const object = {kind, name, fields, changedIn: version, author};
      this.objects.set(objectId(kind, name), object);
    }
    const replaced = this.currentVersion;
    this.currentVersion = version;
    this.declarations = next;
    const entry = {version, replaced, message, author, atMs};
    this.configHistory.add({...entry, changes, previous});
  }
}

function parseChanges(changes: readonly Change[]): {
  changes: CheckedChange[];
  faults: Fault[];
} {
  // If an object is changed several times, the last change applies.
  const byId = new Map<string, CheckedChange>();
  const faults: Fault[] = [];
  for (const {kind, name, fields} of changes) {
    const change: CheckedChange = {kind, name, fields: undefined};
    byId.set(objectId(kind, name), change);
    if (fields === null) continue;
    const parsed = parseObject({kind, name, fields});
    if (parsed.isOk()) change.fields = parsed.value;
    else faults.push(...parsed.error);
  }
  return {changes: [...byId.values()], faults};
}
