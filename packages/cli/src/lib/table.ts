/** Tables for the terminal. @packageDocumentation */

const COLUMN_GAP = '  ';

/**
 * @param header - names of the columns.
 * @param rows - a cell for each column.
 * @returns lines with aligned columns, header first.
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
