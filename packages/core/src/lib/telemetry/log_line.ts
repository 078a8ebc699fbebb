/** Parsing of log lines. @packageDocumentation */

/** Fields of a log line, in order of appearance. */
export type ParsedLine = ReadonlyMap<string, string>;

/** Matches a key=value pair, whose value may be a JSON string. */
const PAIR = /([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses a log line.
 *
 * @param line - a line of key=value pairs. Text before the first pair, such as
 *     a timestamp added by a log collector, is ignored.
 * @returns the fields, or undefined if the line has no `event` field.
 */
export function parseLogLine(line: string): ParsedLine | undefined {
  const fields = new Map<string, string>();
  for (const [, key, value] of line.matchAll(PAIR)) {
    fields.set(key, value.startsWith('"') ? unquote(value) : value);
  }
  return fields.has('event') ? fields : undefined;
}

function unquote(text: string): string {
  try {
    return JSON.parse(text) as string;
  } catch {
    // The line was truncated; a partial value is more useful than none.
    return text.slice(1);
  }
}
