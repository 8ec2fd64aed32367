/**
 * Renders settings templates: `{{a.b}}` is replaced by a value; lists are joined by
 * commas, missing values are empty. A section from `{{#a}}` to `{{/a}}` is repeated for
 * each entry of a table, with the key as `{{@}}` and the value as `{{.}}`.
 */

/** A placeholder with the dot-separated path of its value. */
const PLACEHOLDER = /\{\{(?<path>[\w.]+)\}\}/g;

/** A section for a table, with its line breaks. */
const TABLE_SECTION =
  /\{\{#(?<path>[\w.]+)\}\}\n(?<part>[^]*?)\{\{\/\k<path>\}\}\n?/g;

/** Renders a template with a tree of values. */
export function fillTemplate(template: string, values: object): string {
  const withTables = template.replace(
    TABLE_SECTION,
    (_section, path: string, part: string) =>
      renderTable(findValue(values, path), part),
  );
  return withTables.replace(PLACEHOLDER, (_placeholder, path: string) =>
    formatValue(findValue(values, path)),
  );
}

function renderTable(table: unknown, part: string): string {
  return typeof table === 'object' && table !== null
    ? Object.entries(table)
        .map(([key, value]) =>
          part.replaceAll('{{@}}', key).replaceAll('{{.}}', formatValue(value)),
        )
        .join('')
    : '';
}

/** Returns the value at a path; undefined: the tree has none. */
function findValue(values: object, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>(
      (tree, part) =>
        typeof tree === 'object' && tree !== null
          ? (tree as Readonly<Record<string, unknown>>)[part]
          : undefined,
      values,
    );
}

/** Formats a value for the settings. */
function formatValue(value: unknown): string {
  if (value === undefined || value === null) {
    return '';
  }
  return Array.isArray(value) ? value.join(',') : String(value);
}
