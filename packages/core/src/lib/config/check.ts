/** The check of a whole set of declarations. @packageDocumentation */

import {
  Fields,
  KIND_SCHEMAS,
  Kind,
  RawObject,
  REFERENCES,
  nameSchema,
  objectId,
} from './declarations.js';
import {Fault} from './fault.js';
import {Declarations} from './declared.js';

/** The outcome of a check: the parsed whole, and every fault found. */
export interface CheckResult {
  /** Objects whose own fields are valid. Use it only without faults. */
  declared: Declarations;
  faults: Fault[];
}

/**
 * Checks objects and their references as a whole.
 *
 * @param objects - every object of the set.
 * @returns all faults at once, in the order of the objects.
 */
export function checkDeclarations(objects: Iterable<RawObject>): CheckResult {
  const declared = new Declarations();
  const faults: Fault[] = [];
  const all = [...objects];
  for (const object of all) parseObject(object, declared, faults);
  for (const object of all) checkReferences(object, declared, faults);
  checkCapacity(declared, faults);
  checkRoutes(declared, faults);
  checkTeams(declared, faults);
  return {declared, faults};
}

function parseObject(
  object: RawObject,
  declared: Declarations,
  faults: Fault[],
): void {
  const id = objectId(object.kind, object.name);
  if (!nameSchema.safeParse(object.name).success) {
    faults.push({object: id, message: `"${object.name}" is not a valid name`});
    return;
  }
  const parsed = KIND_SCHEMAS[object.kind].safeParse(object.fields);
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      const unknown = issue.code === 'unrecognized_keys' ? issue.keys : [];
      const field = unknown[0] ?? issue.path[0]?.toString();
      faults.push({object: id, field, message: issue.message});
    }
    return;
  }
  declared.add(object.kind, object.name, parsed.data as Fields<Kind>);
}

function checkReferences(
  object: RawObject,
  declared: Declarations,
  faults: Fault[],
): void {
  const id = objectId(object.kind, object.name);
  for (const {from, field, to} of REFERENCES) {
    const text = object.fields[field];
    if (from !== object.kind || text === undefined) continue;
    for (const name of text.split(',').map(item => item.trim())) {
      if (declared.has(to, name)) continue;
      faults.push({object: id, field, message: `no valid ${to} "${name}"`});
    }
  }
}

function checkCapacity(declared: Declarations, faults: Fault[]): void {
  const engines = [...declared.all('target').values()].filter(
    target => target.kind === 'engine',
  );
  const largest = Math.max(0, ...engines.map(target => target.memory));
  for (const [name, version] of declared.all('version')) {
    if (engines.length === 0 || version.weights <= largest) continue;
    faults.push({
      object: objectId('version', name),
      field: 'weights',
      message: 'is larger than the memory of every engine',
    });
  }
  for (const [name, target] of declared.all('target')) {
    if (target.kind !== 'engine' || target.memory > 0) continue;
    faults.push({
      object: objectId('target', name),
      field: 'memory',
      message: 'an engine needs its memory, such as 80GiB',
    });
  }
}

function checkRoutes(declared: Declarations, faults: Fault[]): void {
  for (const [name, route] of declared.all('route')) {
    const fault = (field: string, message: string) =>
      faults.push({object: objectId('route', name), field, message});
    const ways = [route.model, route.adapter, route.targets].filter(Boolean);
    if (ways.length !== 1) {
      fault('model', 'give exactly one of model, adapter and targets');
    }
    if (route.open === (route.teams !== undefined)) {
      fault('teams', 'give either teams or open = yes');
    }
    if (route.deadline > route.max_deadline) {
      fault('deadline', 'is longer than max_deadline');
    }
    for (const target of route.targets ?? []) {
      if (declared.get('target', target)?.kind !== 'engine') continue;
      fault('targets', `"${target}" is an engine; a route names services`);
    }
  }
}

function checkTeams(declared: Declarations, faults: Fault[]): void {
  const rated = new Set<string>();
  for (const [name, rate] of declared.all('rate')) {
    if (rated.has(rate.team)) {
      const message = `team "${rate.team}" has more than one rate`;
      faults.push({object: objectId('rate', name), field: 'team', message});
    }
    rated.add(rate.team);
  }
  const owners = new Map<string, string>();
  for (const [name, key] of declared.all('key')) {
    const owner = owners.get(key.digest);
    if (owner !== undefined) {
      const message = `same digest as key "${owner}"`;
      faults.push({object: objectId('key', name), field: 'digest', message});
    }
    owners.set(key.digest, name);
  }
  for (const [name, version] of declared.all('version')) {
    const model = declared.get('model', version.model);
    if (model === undefined) continue;
    const served = declared.get('version', model.version);
    if (served !== undefined && served.model !== version.model) {
      const message = `version "${model.version}" belongs to another model`;
      const object = objectId('model', version.model);
      faults.push({object, field: 'version', message});
    }
    void name;
  }
}
