/** Transcripts without what differs between runs. @packageDocumentation */

const REPLACEMENTS: ReadonlyArray<[RegExp, string]> = [
  [/\b[0-9a-f]{32}\b/g, 'ID'],
  [/"created":\d+/g, '"created":TIME'],
  [/\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z/g, 'TIME'],
  [/127\.0\.0\.1:\d+/g, 'ADDRESS'],
  // A connection may be refused or closed, whichever comes first.
  [/(cannot reach the host: \S+): .*/, '$1: REASON'],
];

/** Columns of the status table that differ between runs. */
const VOLATILE_COLUMNS = ['AGE', 'LINKS'];
const STATUS_COLUMNS =
  'HOST ZONE STATE VERSION AGE CONTROLLER LINKS QUEUED'.split(' ');

/**
 * @param line - a line of output.
 * @returns the line with ids, times and addresses replaced.
 */
export function normalizeLine(line: string): string {
  return REPLACEMENTS.reduce(
    (text, [pattern, name]) => text.replace(pattern, name),
    line,
  );
}

/**
 * @param row - a row of the status table.
 * @returns its cells with a single distance, volatile ones replaced.
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
