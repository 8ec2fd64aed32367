/** Plain-text tables. */

const COLUMN_GAP = '  ';

/** Formats rows as aligned columns; the first row is the heading and sets their number. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join(COLUMN_GAP)
        .trimEnd(),
    )
    .join('\n');
}
