/** Reads the log lines that hosts write. @packageDocumentation */

/** The fields of a line, in its order. */
export type ParsedLine = ReadonlyMap<string, string>;

/** A pair; the value may be a JSON string. */
const PAIR = /([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * @param line - a line of key=value pairs; text before the first pair, such as
 *     a collector's own time, is passed over.
 * @returns its fields, or nothing if it has no event.
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
    // A line that was cut: what is there helps more than nothing.
    return text.slice(1);
  }
}
