/** The daemon's settings: an INI file that is validated as a whole at startup. @packageDocumentation */

import {readFile} from 'node:fs/promises';
import {LOG_LEVELS, durationSchema} from '@fuchsiacleat/core';
import {parse} from 'ini';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const listenSchema = z.string().transform((text, ctx) => {
  const match = /^\[?([0-9a-fA-F.:]+?)\]?:(\d{1,5})$/.exec(text);
  const port = Number(match?.[2] ?? NaN);
  if (match === null || port > 65_535) {
    ctx.addIssue('expected an IP number and a port, such as 127.0.0.1:8080');
    return z.NEVER;
  }
  return {address: match[1], port};
});

const addressListSchema = z
  .string()
  .transform(text => text.split(',').map(item => item.trim()))
  .pipe(z.array(listenSchema));

const yesNoSchema = z
  .enum(['yes', 'no'], 'expected yes or no')
  .transform(text => text === 'yes');

const countSchema = z.coerce.number<string>().int().min(1);
const urlSchema = z.url({protocol: /^https?$/, error: 'expected a URL'});

/** End of the message that the schema library gives for a missing value. */
const MISSING_VALUE_SUFFIX = 'received undefined';

/** Schema of the settings; the descriptions appear on the reference page. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    name: z
      .string()
      .regex(NAME_PATTERN, 'expected a host name')
      .describe('Name of this host, unique over all zones.'),
    zone: z
      .string()
      .regex(NAME_PATTERN, 'expected a zone name')
      .describe('Availability zone in which this host stands.'),
  }),
  listen: z.strictObject({
    caller: listenSchema.describe('Where callers connect.'),
    operator: listenSchema.describe('Where operators connect.'),
    peer: listenSchema.describe('Where other hosts connect.'),
  }),
  platform: z.strictObject({
    log: urlSchema.describe('Base URL of the log service.'),
    host_list: urlSchema
      .optional()
      .describe('Base URL of the list of live and leaving hosts.'),
    log_retention: durationSchema
      .optional()
      .describe('How long the log keeps records, at least; 24h by default.'),
  }),
  peers: z
    .strictObject({
      secret: z
        .string()
        .min(16, 'expected at least 16 characters')
        .optional()
        .describe('Pre-shared key of the TLS links between hosts.'),
      plain: yesNoSchema
        .default(false)
        .describe('Whether links between hosts go without TLS.'),
      seeds: addressListSchema
        .optional()
        .describe(
          'Hosts to start from while the log is out of reach, such as ' +
            '10.0.1.5:9000, 10.0.2.5:9000.',
        ),
    })
    .refine(peers => peers.plain !== (peers.secret !== undefined), {
      path: ['secret'],
      error: 'give either a secret or plain = yes',
    }),
  operators: z.strictObject({
    token_digest: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest')
      .describe("SHA-256 digest of the operators' token."),
  }),
  limits: z
    .strictObject({
      body_bytes: countSchema
        .default(1024 * 1024)
        .describe('Largest body of a request, in bytes.'),
      connections: countSchema
        .default(4_096)
        .describe('Most connections of callers at once.'),
      memory_mb: countSchema
        .optional()
        .describe(
          'Memory of the machine, in megabytes, from which the memory for ' +
            'bodies follows; see limits.md. 602 by default.',
        ),
    })
    .default({body_bytes: 1024 * 1024, connections: 4_096}),
  shutdown: z
    .strictObject({
      grace_ms: z.coerce
        .number<string>()
        .int()
        .min(0)
        .default(2_000)
        .describe(
          'How long a stopping host still takes requests, so that the ' +
            'balancer sees that it is not ready, in milliseconds.',
        ),
    })
    .default({grace_ms: 2_000}),
  tracing: z
    .strictObject({
      otlp: urlSchema
        .optional()
        .describe(
          'URL to which finished spans are posted as OTLP over HTTP, such as ' +
            'http://10.0.1.9:4318/v1/traces; none are exported without it.',
        ),
    })
    .optional(),
  log: z
    .strictObject({
      level: z
        .enum(LOG_LEVELS)
        .default('info')
        .describe('Lowest severity that is logged.'),
    })
    .default({level: 'info'}),
});

/** Validated settings. */
export type Settings = z.output<typeof settingsSchema>;

/** A validation error in the settings. */
export interface SettingsFault {
  /** Section and key, such as `listen.caller`. */
  key: string;
  message: string;
}

/**
 * Parses and validates settings.
 *
 * @param text - content of the settings file.
 * @returns the settings, or all faults.
 */
export function parseSettings(text: string): Result<Settings, SettingsFault[]> {
  const parsed = settingsSchema.safeParse(addMissingSections(parse(text)));
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap(toFaults));
}

/**
 * Reads, parses and validates a settings file.
 *
 * @param path - path of the settings file.
 * @returns the settings, or all faults; an unreadable file is one fault.
 */
export async function readSettings(
  path: string,
): Promise<Result<Settings, SettingsFault[]>> {
  try {
    return parseSettings(await readFile(path, 'utf8'));
  } catch (error) {
    return err([{key: path, message: (error as Error).message}]);
  }
}

function toFaults(issue: z.core.$ZodIssue): SettingsFault[] {
  const path = issue.path.join('.');
  if (
    issue.code === 'invalid_type' &&
    issue.message.endsWith(MISSING_VALUE_SUFFIX)
  ) {
    return [{key: path, message: 'is missing'}];
  }
  if (issue.code !== 'unrecognized_keys') {
    return [{key: path, message: issue.message}];
  }
  return issue.keys.map(key => ({
    key: path === '' ? key : `${path}.${key}`,
    message: 'is not a known setting',
  }));
}

/** Adds absent sections as empty ones, so that every missing key is reported. */
function addMissingSections(parsed: Record<string, unknown>) {
  const empty = Object.keys(settingsSchema.shape).map(name => [name, {}]);
  return {...Object.fromEntries(empty), ...deepCopy(parsed)};
}

/**
 * Copies the INI library's objects, which have no prototype, into plain
 * objects, and converts all values to strings.
 */
function deepCopy(value: Record<string, unknown>): Record<string, unknown> {
  const copy: Record<string, unknown> = {};
  for (const [key, item] of Object.entries(value)) {
    copy[key] =
      typeof item === 'object' && item !== null
        ? deepCopy(item as Record<string, unknown>)
        : String(item);
  }
  return copy;
}
