/** Generates the reference page of the settings. @packageDocumentation */

import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {settingsSchema} from './settings.js';

const INTRODUCTION = `# Settings of fuchsiacleatd

This page is written by \`npm run docs\` from the schema that checks the
settings. The daemon reads one INI file, given by \`--settings\`. It checks the
whole file at start, prints every fault with its section and key, and ends with
exit code 2 if there is one. An annotated file is examples/fuchsiacleatd.ini.
`;

/** Returns the path of the page in the repository. */
export function settingsPagePath(): string {
  const path = '../../../../docs/operators/settings.md';
  return fileURLToPath(new URL(path, import.meta.url));
}

/** Returns the page in Markdown. */
export function settingsPage(): string {
  const sections = Object.entries(settingsSchema.shape).map(
    ([name, schema]) => `## [${name}]\n\n${sectionText(schema)}\n`,
  );
  return [INTRODUCTION, ...sections].join('\n');
}

function sectionText(schema: z.ZodType): string {
  const {shape} = unwrap(schema);
  const items = Object.entries(shape).map(
    ([key, field]) =>
      `- \`${key}\` (${describeDefault(field)}): ${field.description ?? ''}`,
  );
  return items.join('\n');
}

/** Returns the object schema of a section that is optional or has a default. */
function unwrap(schema: z.ZodType): z.ZodObject<Record<string, z.ZodType>> {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  return schema as z.ZodObject<Record<string, z.ZodType>>;
}

function describeDefault(field: z.ZodType): string {
  const absent = field.safeParse(undefined);
  if (!absent.success) return 'required';
  if (absent.data === undefined) return 'optional';
  if (typeof absent.data === 'boolean') {
    return `default \`${absent.data ? 'yes' : 'no'}\``;
  }
  return `default \`${String(absent.data)}\``;
}
