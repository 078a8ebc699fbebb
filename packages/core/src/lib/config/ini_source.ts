/** Declarations read from INI files. @packageDocumentation */

import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {parse} from 'ini';
import {RawObject, isKind, objectId} from './declarations.js';
import {Fault} from './fault.js';

/** Where the parts of each object stand. */
export class SourceMap {
  private readonly places = new Map<string, {file: string; line: number}>();

  /** Notes where an object or its field stands; the first place counts. */
  note(object: string, field: string, file: string, line: number): boolean {
    const key = `${object}\n${field}`;
    if (this.places.has(key)) return false;
    this.places.set(key, {file, line});
    return true;
  }

  /** @returns the fault with its file and line, where they are known. */
  locate(fault: Fault): Fault {
    const place =
      this.places.get(`${fault.object}\n${fault.field ?? ''}`) ??
      this.places.get(`${fault.object}\n`);
    return {...place, ...fault};
  }
}

/** What was read from the files of a folder. */
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
 * @returns the objects and every fault of form.
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

/** @returns a source without objects, to add files to. */
export function emptySource(): DeclarationSource {
  return {objects: [], map: new SourceMap(), faults: []};
}

/**
 * Adds the declarations of one file.
 *
 * @param source - takes the objects and faults.
 * @param file - path of the file, for messages.
 * @param text - the file's content.
 */
export function addDeclarations(
  source: DeclarationSource,
  file: string,
  text: string,
): void {
  noteLines(source, file, text);
  const sections = flattenSections(parse(text));
  for (const [header, fields] of sections) {
    const match = /^([a-z]+) +"([^"]*)"$/.exec(header.trim());
    if (match === null || !isKind(match[1])) continue;
    source.objects.push({kind: match[1], name: match[2], fields});
  }
}

/** The INI library gives no line numbers; this finds them for messages. */
function noteLines(source: DeclarationSource, file: string, text: string) {
  let object = '';
  text.split(/\r?\n/).forEach((content, index) => {
    const line = index + 1;
    const fault = (message: string) =>
      source.faults.push({object, message, file, line});
    const section = SECTION.exec(content);
    if (section !== null && isKind(section[1])) {
      object = objectId(section[1], section[2]);
      if (!source.map.note(object, '', file, line)) {
        fault('is declared more than once');
      }
    } else if (section !== null) {
      object = '';
      fault(`unknown kind "${section[1]}"`);
    } else if (SECTION_LIKE.test(content)) {
      object = '';
      fault('expected a section such as [model "name"]');
    } else {
      noteField(source, object, content, file, line);
    }
  });
}

function noteField(
  source: DeclarationSource,
  object: string,
  content: string,
  file: string,
  line: number,
): void {
  const trimmed = content.trim();
  if (trimmed === '' || /^[;#]/.test(trimmed)) return;
  const field = FIELD.exec(content)?.[1];
  const fault = (message: string) =>
    source.faults.push({object, field, message, file, line});
  if (field === undefined) fault('expected "name = value"');
  else if (object === '') fault('stands outside of a known section');
  else if (!source.map.note(object, field, file, line)) {
    fault('is given more than once');
  }
}

/**
 * The INI library nests sections at each dot of their names; this undoes it.
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
