/** Schemas of the objects that operators declare. @packageDocumentation */

import {z} from 'zod';

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const SIZE_UNITS = {KiB: 1024, MiB: 1024 ** 2, GiB: 1024 ** 3} as const;
const DURATION_UNITS_MS = {ms: 1, s: 1000, m: 60_000, h: 3_600_000} as const;

/** Schema of an object name. */
export const nameSchema = z
  .string()
  .regex(NAME, 'expected a name of lower-case letters, digits, ".", "_", "-"');

/** Schema of a size such as `40GiB`; parses to bytes. */
export const sizeSchema = z.string().transform((text, ctx) => {
  const match = /^(\d+(?:\.\d+)?)(KiB|MiB|GiB)$/.exec(text);
  if (match === null) {
    ctx.addIssue('expected a size such as 512MiB or 40GiB');
    return z.NEVER;
  }
  return Number(match[1]) * SIZE_UNITS[match[2] as keyof typeof SIZE_UNITS];
});

/** Schema of a duration such as `30s`; parses to milliseconds. */
export const durationSchema = z.string().transform((text, ctx) => {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
  if (match === null) {
    ctx.addIssue('expected a duration such as 500ms, 30s, 5m or 1h');
    return z.NEVER;
  }
  const unit = match[2] as keyof typeof DURATION_UNITS_MS;
  return Number(match[1]) * DURATION_UNITS_MS[unit];
});

/** Schema of a comma-separated list of names. */
export const nameListSchema = z
  .string()
  .transform(text => text.split(',').map(item => item.trim()))
  .pipe(z.array(nameSchema).min(1));

const numberSchema = z.coerce.number<string>().finite();
const positiveSchema = numberSchema.positive();
const positiveCountSchema = numberSchema.int().min(1);
const yesNoSchema = z
  .enum(['yes', 'no'], 'expected yes or no')
  .transform(text => text === 'yes');

const zoneSchema = z.strictObject({
  region: nameSchema.default('default'),
  weight: positiveSchema.default(1),
});

const targetSchema = z.strictObject({
  zone: nameSchema,
  kind: z.enum(['engine', 'service']).default('engine'),
  url: z.url({protocol: /^https?$/}),
  memory: sizeSchema.default(0),
  slots: positiveCountSchema.default(8),
  accelerators: positiveCountSchema.default(1),
  fencing: yesNoSchema.default(true),
});

const modelSchema = z.strictObject({
  version: nameSchema,
  max_replicas: positiveCountSchema.default(1),
});

const versionSchema = z.strictObject({
  model: nameSchema,
  weights: sizeSchema,
  kv_per_token: sizeSchema.default(64 * 1024),
  context: positiveCountSchema.default(8192),
});

const adapterSchema = z.strictObject({
  model: nameSchema,
  size: sizeSchema,
});

const teamSchema = z.strictObject({
  weight: positiveSchema.default(1),
});

const keySchema = z.strictObject({
  team: nameSchema,
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest'),
});

const rateSchema = z.strictObject({
  team: nameSchema,
  tokens_per_second: positiveSchema,
  burst: positiveSchema,
  floor: numberSchema.min(0).max(1).default(0.5),
});

const routeSchema = z.strictObject({
  model: nameSchema.optional(),
  adapter: nameSchema.optional(),
  targets: nameListSchema.optional(),
  teams: nameListSchema.optional(),
  open: yesNoSchema.default(false),
  repeatable: yesNoSchema.default(true),
  deadline: durationSchema.default(30_000),
  max_deadline: durationSchema.default(300_000),
  max_tokens: positiveCountSchema.default(512),
  max_config_age: durationSchema.optional(),
  priority: numberSchema.int().min(0).max(9).default(5),
});

/** Schemas of the fields, by kind of object. */
export const KIND_SCHEMAS = {
  zone: zoneSchema,
  target: targetSchema,
  model: modelSchema,
  version: versionSchema,
  adapter: adapterSchema,
  team: teamSchema,
  key: keySchema,
  rate: rateSchema,
  route: routeSchema,
} as const;

/** Kind of a declared object. */
export type Kind = keyof typeof KIND_SCHEMAS;

/** All kinds, in display order. */
export const KINDS = Object.keys(KIND_SCHEMAS) as Kind[];

/** Parsed fields of an object of kind `K`. */
export type Fields<K extends Kind> = z.output<(typeof KIND_SCHEMAS)[K]>;

/** An availability zone. */
export type ZoneFields = Fields<'zone'>;
/** A target: a model engine or a service without models. Memory is in bytes. */
export type TargetFields = Fields<'target'>;
/** A model: the version to serve and the maximum number of replicas. */
export type ModelFields = Fields<'model'>;
/** A version of a model and the resources of a replica. Sizes are in bytes. */
export type VersionFields = Fields<'version'>;
/** An adapter of a model. Its size is in bytes. */
export type AdapterFields = Fields<'adapter'>;
/** A team and its weight in fair queueing. */
export type TeamFields = Fields<'team'>;
/** A team's key, of which only the digest is stored. */
export type KeyFields = Fields<'key'>;
/** A team's rate in tokens per second and burst in tokens. */
export type RateFields = Fields<'rate'>;
/** A route. Durations are in milliseconds. */
export type RouteFields = Fields<'route'>;

/**
 * A declared object with unparsed fields, the form that is stored and compared.
 */
export interface RawObject {
  kind: Kind;
  name: string;
  fields: Record<string, string>;
}

/**
 * Fields that hold names of other objects, and the kind that each refers to.
 */
export const REFERENCES: ReadonlyArray<{from: Kind; field: string; to: Kind}> =
  [
    {from: 'target', field: 'zone', to: 'zone'},
    {from: 'model', field: 'version', to: 'version'},
    {from: 'version', field: 'model', to: 'model'},
    {from: 'adapter', field: 'model', to: 'model'},
    {from: 'key', field: 'team', to: 'team'},
    {from: 'rate', field: 'team', to: 'team'},
    {from: 'route', field: 'model', to: 'model'},
    {from: 'route', field: 'adapter', to: 'adapter'},
    {from: 'route', field: 'targets', to: 'target'},
    {from: 'route', field: 'teams', to: 'team'},
  ];

/**
 * Returns the id of an object.
 *
 * @param kind - kind of the object.
 * @param name - name of the object.
 * @returns the id, such as `model/drafter`.
 */
export function objectId(kind: Kind, name: string): string {
  return `${kind}/${name}`;
}

/**
 * Type guard for kinds of objects.
 *
 * @param text - the text to test.
 * @returns whether the text is the name of a kind.
 */
export function isKind(text: string): text is Kind {
  return Object.hasOwn(KIND_SCHEMAS, text);
}
