/** Formats tables for terminal output. @packageDocumentation */

const COLUMN_GAP = '  ';

/**
 * Formats a table with left-aligned columns.
 *
 * @param header - names of the columns.
 * @param rows - one cell for each column.
 * @returns the lines of the table, header first.
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const all = [header, ...rows];
  const widths = header.map((unused, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
