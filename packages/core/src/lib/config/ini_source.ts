/** Reading of declarations from INI files. @packageDocumentation */

import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {parse} from 'ini';
import {RawObject, isKind, objectId} from './declarations.js';
import {Fault} from './fault.js';

/** Maps objects and their fields to locations in files. */
export class SourceMap {
  private readonly locations = new Map<string, {file: string; line: number}>();

  /**
   * Records the location of an object or, if `field` is not empty, of its
   * field. The first location is kept.
   *
   * @returns false if a location was recorded before.
   */
  recordLocation(
    object: string,
    field: string,
    file: string,
    line: number,
  ): boolean {
    const key = `${object}\n${field}`;
    if (this.locations.has(key)) return false;
    this.locations.set(key, {file, line});
    return true;
  }

  /** Returns the fault with its file and line, if they are known. */
  locate(fault: Fault): Fault {
    const location =
      this.locations.get(`${fault.object}\n${fault.field ?? ''}`) ??
      this.locations.get(`${fault.object}\n`);
    return {...location, ...fault};
  }
}

/** Declarations read from the files of a folder. */
export interface DeclarationSource {
  objects: RawObject[];
  map: SourceMap;
  faults: Fault[];
}

const SECTION = /^\s*\[\s*([a-z]+)\s+"([^"]*)"\s*\]\s*$/;
const SECTION_LIKE = /^\s*\[/;
const FIELD = /^\s*([^=;#\s]+)\s*=/;

/**
 * Reads every `.ini` file of a folder.
 *
 * @param folder - path of the folder.
 * @returns the objects and every syntax fault.
 */
export async function readDeclarations(
  folder: string,
): Promise<DeclarationSource> {
  const source = emptySource();
  let files: string[];
  try {
    files = (await readdir(folder)).filter(file => file.endsWith('.ini'));
  } catch (err) {
    source.faults.push({object: '', message: (err as Error).message});
    return source;
  }
  if (files.length === 0) {
    source.faults.push({object: '', message: `no .ini file in ${folder}`});
  }
  for (const file of files.sort()) {
    const path = join(folder, file);
    addDeclarations(source, path, await readFile(path, 'utf8'));
  }
  return source;
}

/** Creates an empty source to which files can be added. */
export function emptySource(): DeclarationSource {
  return {objects: [], map: new SourceMap(), faults: []};
}

/**
 * Parses a file and adds its declarations to a source.
 *
 * @param source - receives the objects and faults.
 * @param file - path of the file, used in messages.
 * @param text - content of the file.
 */
export function addDeclarations(
  source: DeclarationSource,
  file: string,
  text: string,
): void {
  recordLines(source, file, text);
  const sections = flattenSections(parse(text));
  for (const [header, fields] of sections) {
    const match = /^([a-z]+) +"([^"]*)"$/.exec(header.trim());
    if (match === null || !isKind(match[1])) continue;
    source.objects.push({kind: match[1], name: match[2], fields});
  }
}

/**
 * Records the line numbers of sections and fields for messages, because the INI
 * library reports none. Also reports duplicates and malformed lines.
 */
function recordLines(source: DeclarationSource, file: string, text: string) {
  let object = '';
  text.split(/\r?\n/).forEach((content, index) => {
    const line = index + 1;
    const report = (message: string) =>
      source.faults.push({object, message, file, line});
    const section = SECTION.exec(content);
    if (section !== null && isKind(section[1])) {
      object = objectId(section[1], section[2]);
      if (!source.map.recordLocation(object, '', file, line)) {
        report('is declared more than once');
      }
    } else if (section !== null) {
      object = '';
      report(`unknown kind "${section[1]}"`);
    } else if (SECTION_LIKE.test(content)) {
      object = '';
      report('expected a section such as [model "name"]');
    } else {
      recordField(source, object, content, file, line);
    }
  });
}

function recordField(
  source: DeclarationSource,
  object: string,
  content: string,
  file: string,
  line: number,
): void {
  const trimmed = content.trim();
  if (trimmed === '' || /^[;#]/.test(trimmed)) return;
  const field = FIELD.exec(content)?.[1];
  const report = (message: string) =>
    source.faults.push({object, field, message, file, line});
  if (field === undefined) report('expected "name = value"');
  else if (object === '') report('stands outside of a known section');
  else if (!source.map.recordLocation(object, field, file, line)) {
    report('is given more than once');
  }
}

/**
 * Flattens the parsed sections, because the INI library nests a section at each
 * dot of its name.
 */
function flattenSections(
  parsed: Record<string, unknown>,
  prefix = '',
): Array<[string, Record<string, string>]> {
  const sections: Array<[string, Record<string, string>]> = [];
  const fields: Record<string, string> = {};
  for (const [key, value] of Object.entries(parsed)) {
    const path = prefix === '' ? key : `${prefix}.${key}`;
    if (typeof value === 'object' && value !== null) {
      sections.push(...flattenSections({...value}, path));
    } else {
      fields[key] = String(value);
    }
  }
  if (prefix !== '') sections.unshift([prefix, fields]);
  return sections;
}
