/**
 * Fills the gaps of a settings template: `{{a.b}}` stands for a value, a list is
 * joined by commas, and a value that is missing leaves nothing. What stands between
 * `{{#a}}` and `{{/a}}` is repeated for each entry of a table, whose key and value are
 * `{{@}}` and `{{.}}` there.
 */

/** A gap; its path names the parts of a tree from the root, between points. */
const GAP = /\{\{(?<path>[\w.]+)\}\}/g;

/** A part that is repeated for each entry of a table, with its line breaks. */
const TABLE = /\{\{#(?<path>[\w.]+)\}\}\n(?<part>[^]*?)\{\{\/\k<path>\}\}\n?/g;

/** Fills a template from a tree of values. */
export function fillTemplate(template: string, values: object): string {
  const whole = template.replace(TABLE, (_table, path: string, part: string) =>
    repeatFor(valueAt(values, path), part),
  );
  return whole.replace(GAP, (_gap, path: string) =>
    textOf(valueAt(values, path)),
  );
}

function repeatFor(table: unknown, part: string): string {
  return typeof table === 'object' && table !== null
    ? Object.entries(table)
        .map(([key, value]) =>
          part.replaceAll('{{@}}', key).replaceAll('{{.}}', textOf(value)),
        )
        .join('')
    : '';
}

/** The value at a path; undefined when the tree does not hold it. */
function valueAt(values: object, path: string): unknown {
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

/** A value as it is written into the settings. */
function textOf(value: unknown): string {
  if (value === undefined || value === null) {
    return '';
  }
  return Array.isArray(value) ? value.join(',') : String(value);
}
