/** Normalizes transcripts: replaces values that differ between runs. @packageDocumentation */

const REPLACEMENTS: ReadonlyArray<[RegExp, string]> = [
  [/\b[0-9a-f]{32}\b/g, 'ID'],
  [/"created":\d+/g, '"created":TIME'],
  [/\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z/g, 'TIME'],
  [/127\.0\.0\.1:\d+/g, 'ADDRESS'],
  // The connection is refused or closed, depending on timing.
  [/(cannot reach the host: \S+): .*/, '$1: REASON'],
];

/** Columns of the status table that differ between runs. */
const VOLATILE_COLUMNS = ['AGE', 'LINKS'];
const STATUS_COLUMNS =
  'HOST ZONE STATE VERSION AGE CONTROLLER LINKS QUEUED'.split(' ');

/**
 * Replaces ids, times and addresses in a line of output.
 *
 * @param line - the line.
 * @returns the normalized line.
 */
export function normalizeLine(line: string): string {
  return REPLACEMENTS.reduce(
    (text, [pattern, name]) => text.replace(pattern, name),
    line,
  );
}

/**
 * Replaces volatile cells of a status table row and separates all cells by two
 * spaces.
 *
 * @param row - the row.
 * @returns the normalized row.
 */
export function normalizeStatusRow(row: string): string {
  const cells = row.split(/ {2,}/);
  if (cells.length !== STATUS_COLUMNS.length) return row;
  return cells
    .map((cell, column) =>
      VOLATILE_COLUMNS.includes(STATUS_COLUMNS[column]) &&
      cell !== STATUS_COLUMNS[column]
        ? '*'
        : cell,
    )
    .join('  ');
}
