/**
 * Fills the gaps of a settings template: `{{a.b}}` stands for a value, a list is
 * joined by commas, and a value that is missing leaves nothing.
 */

const GAP = /\{\{(?<path>[\w.]+)\}\}/g;

/** Fills a template from a tree of values. */
export function fillTemplate(template: string, values: object): string {
  return template.replace(GAP, (_gap, path: string) =>
    textOf(valueAt(values, path)),
  );
}

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

function textOf(value: unknown): string {
  if (value === undefined || value === null) {
    return '';
  }
  return Array.isArray(value) ? value.join(',') : String(value);
}
