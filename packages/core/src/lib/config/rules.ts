/** Validation rules for declarations, apart from references. @packageDocumentation */

import {
  AdapterFields,
  KeyFields,
  Kind,
  ModelFields,
  RateFields,
  RouteFields,
  TargetFields,
  VersionFields,
} from './declarations.js';
import {Declarations} from './declared.js';

/** Reports a fault in a field of the validated object. */
export type ReportFault = (field: string, message: string) => void;

/**
 * Checks the rules for an object's kind. Ignores references to missing objects,
 * which `checkDeclarations` and `checkObject` report.
 *
 * @param declared - the complete set.
 * @param kind - kind of the object.
 * @param name - name of the object, which must be declared.
 * @param fault - called with each fault.
 */
export function checkRules(
  declared: Declarations,
  kind: Kind,
  name: string,
  fault: ReportFault,
): void {
  switch (kind) {
    case 'target':
      return checkTarget(declared.get(kind, name)!, fault);
    case 'model':
      return checkModel(declared, name, declared.get(kind, name)!, fault);
    case 'version':
      return checkVersion(declared, declared.get(kind, name)!, fault);
    case 'adapter':
      return checkAdapter(declared, declared.get(kind, name)!, fault);
    case 'key':
      return checkKey(declared, name, declared.get(kind, name)!, fault);
    case 'rate':
      return checkRate(declared, name, declared.get(kind, name)!, fault);
    case 'route':
      return checkRoute(declared, declared.get(kind, name)!, fault);
    default:
      return;
  }
}

function checkTarget(target: TargetFields, fault: ReportFault): void {
  if (target.kind === 'engine' && target.memory === 0) {
    fault('memory', 'an engine needs its memory, such as 80GiB');
  }
  if (target.kind === 'service' && target.memory > 0) {
    fault('memory', 'a service has no memory for models');
  }
}

function checkModel(
  declared: Declarations,
  name: string,
  model: ModelFields,
  fault: ReportFault,
): void {
  const version = declared.get('version', model.version);
  if (version !== undefined && version.model !== name) {
    fault('version', `"${model.version}" belongs to model "${version.model}"`);
  }
}

function checkVersion(
  declared: Declarations,
  {weights}: VersionFields,
  fault: ReportFault,
): void {
  if (weights === 0) fault('weights', 'must be more than 0');
  const {memories, largest} = declared.engines;
  if (memories.length > 0 && weights > largest) {
    fault('weights', 'is larger than the memory of every engine');
  }
}

function checkAdapter(
  declared: Declarations,
  {model, size}: AdapterFields,
  fault: ReportFault,
): void {
  const version = declared.get('model', model)?.version ?? '';
  const weights = declared.get('version', version)?.weights ?? 0;
  const {memories, largest} = declared.engines;
  if (memories.length > 0 && weights + size > largest) {
    fault('size', 'does not fit beside its model into any engine');
  }
}

function checkKey(
  declared: Declarations,
  name: string,
  {digest}: KeyFields,
  fault: ReportFault,
): void {
  const [owner] = declared.keysOfDigest(digest);
  if (owner !== name) fault('digest', `same digest as key "${owner}"`);
}

function checkRate(
  declared: Declarations,
  name: string,
  {team}: RateFields,
  fault: ReportFault,
): void {
  const [first] = declared.ratesOfTeam(team);
  if (first !== name) {
    fault('team', `team "${team}" has the rate "${first}" already`);
  }
}

function checkRoute(
  declared: Declarations,
  route: RouteFields,
  fault: ReportFault,
): void {
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
  checkRouteTargets(declared, route.targets ?? [], fault);
  checkRouteTeams(declared, route, fault);
}

function checkRouteTargets(
  declared: Declarations,
  targets: readonly string[],
  fault: ReportFault,
): void {
  for (const target of targets) {
    if (declared.get('target', target)?.kind !== 'engine') continue;
    fault('targets', `"${target}" is an engine; a route names services`);
  }
  if (new Set(targets).size < targets.length) {
    fault('targets', 'names a target twice');
  }
}

function checkRouteTeams(
  declared: Declarations,
  {teams = [], targets, max_tokens: maxTokens}: RouteFields,
  fault: ReportFault,
): void {
  if (new Set(teams).size < teams.length) fault('teams', 'names a team twice');
  if (targets !== undefined) return;
  for (const team of teams) {
    const [name] = declared.ratesOfTeam(team);
    const burst = declared.get('rate', name ?? '')?.burst ?? Infinity;
    if (maxTokens <= burst) continue;
    const message = `${maxTokens} is more than the burst ${burst} of "${team}"`;
    fault('max_tokens', message);
  }
}
