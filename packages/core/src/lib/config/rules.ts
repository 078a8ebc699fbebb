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
import {DeclarationSet} from './declaration_set.js';

/** Reports a fault in a field of the validated object. */
export type ReportFault = (field: string, message: string) => void;

/**
 * Checks the rules for an object's kind. Ignores references to missing objects,
 * which `checkDeclarations` and `checkObject` report.
 *
 * @param declared - the complete set.
 * @param kind - kind of the object.
 * @param name - name of the object, which must be declared.
 * @param report - called with each fault.
 */
export function checkRules(
  declared: DeclarationSet,
  kind: Kind,
  name: string,
  report: ReportFault,
): void {
  switch (kind) {
    case 'target':
      return checkTarget(declared.get(kind, name)!, report);
    case 'model':
      return checkModel(declared, name, declared.get(kind, name)!, report);
    case 'version':
      return checkVersion(declared, declared.get(kind, name)!, report);
    case 'adapter':
      return checkAdapter(declared, declared.get(kind, name)!, report);
    case 'key':
      return checkKey(declared, name, declared.get(kind, name)!, report);
    case 'rate':
      return checkRate(declared, name, declared.get(kind, name)!, report);
    case 'route':
      return checkRoute(declared, declared.get(kind, name)!, report);
    default:
      return;
  }
}

function checkTarget(target: TargetFields, report: ReportFault): void {
  if (target.kind === 'engine' && target.memory === 0) {
    report('memory', 'an engine needs its memory, such as 80GiB');
  }
  if (target.kind === 'service' && target.memory > 0) {
    report('memory', 'a service has no memory for models');
  }
}

function checkModel(
  declared: DeclarationSet,
  name: string,
  model: ModelFields,
  report: ReportFault,
): void {
  const version = declared.get('version', model.version);
  if (version !== undefined && version.model !== name) {
    report('version', `"${model.version}" belongs to model "${version.model}"`);
  }
}

function checkVersion(
  declared: DeclarationSet,
  {weights}: VersionFields,
  report: ReportFault,
): void {
  if (weights === 0) report('weights', 'must be more than 0');
  const {memorySizes: memories, largest} = declared.engines;
  if (memories.length > 0 && weights > largest) {
    report('weights', 'is larger than the memory of every engine');
  }
}

function checkAdapter(
  declared: DeclarationSet,
  {model, size}: AdapterFields,
  report: ReportFault,
): void {
  const version = declared.get('model', model)?.version ?? '';
  const weights = declared.get('version', version)?.weights ?? 0;
  const {memorySizes: memories, largest} = declared.engines;
  if (memories.length > 0 && weights + size > largest) {
    report('size', 'does not fit beside its model into any engine');
  }
}

function checkKey(
  declared: DeclarationSet,
  name: string,
  {digest}: KeyFields,
  report: ReportFault,
): void {
  const [owner] = declared.keysOfDigest(digest);
  if (owner !== name) report('digest', `same digest as key "${owner}"`);
}

function checkRate(
  declared: DeclarationSet,
  name: string,
  {team}: RateFields,
  report: ReportFault,
): void {
  const [first] = declared.ratesOfTeam(team);
  if (first !== name) {
    report('team', `team "${team}" has the rate "${first}" already`);
  }
}

function checkRoute(
  declared: DeclarationSet,
  route: RouteFields,
  report: ReportFault,
): void {
  const destinations = [route.model, route.adapter, route.targets].filter(
    Boolean,
  );
  if (destinations.length !== 1) {
    report('model', 'give exactly one of model, adapter and targets');
  }
  if (route.open === (route.teams !== undefined)) {
    report('teams', 'give either teams or open = yes');
  }
  if (route.deadline > route.max_deadline) {
    report('deadline', 'is longer than max_deadline');
  }
  checkRouteTargets(declared, route.targets ?? [], report);
  checkRouteTeams(declared, route, report);
}

function checkRouteTargets(
  declared: DeclarationSet,
  targets: readonly string[],
  report: ReportFault,
): void {
  for (const target of targets) {
    if (declared.get('target', target)?.kind !== 'engine') continue;
    report('targets', `"${target}" is an engine; a route names services`);
  }
  if (new Set(targets).size < targets.length) {
    report('targets', 'names a target twice');
  }
}

function checkRouteTeams(
  declared: DeclarationSet,
  {teams = [], targets, max_tokens: maxTokens}: RouteFields,
  report: ReportFault,
): void {
  if (new Set(teams).size < teams.length) report('teams', 'names a team twice');
  if (targets !== undefined) return;
  for (const team of teams) {
    const [name] = declared.ratesOfTeam(team);
    const burst = declared.get('rate', name ?? '')?.burst ?? Infinity;
    if (maxTokens <= burst) continue;
    const message = `${maxTokens} is more than the burst ${burst} of "${team}"`;
    report('max_tokens', message);
  }
}
