/** Plain tables for people. */

const GAP = '  ';

/** Lays rows out in columns; the first row is the heading. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join(GAP)
        .trimEnd(),
    )
    .join('\n');
}
