/** Reads INI files against a schema and reports all faults of a file at once. */
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {ConfigurationFaults, type Fault} from './faults.js';

/** The text of a file and its name for messages. */
export interface SourceText {
  readonly file: string;
  readonly text: string;
}

const SECTION_LINE = /^\[(?<name>[^\]]*)\]$/;
const KEY_LINE = /^(?<key>[^=]+?)\s*=/;
const COMMENT_LINE = /^[;#]/;
const LIST_SUFFIX = '[]';

/** Parses a file and returns the schema's output, or every fault found. */
export function readIniFile<T extends z.ZodType>(
  source: SourceText,
  schema: T,
): Result<z.output<T>, ConfigurationFaults> {
  const lineFaults = findLineFaults(source);
  const parsed = schema.safeParse(
    toPlainObject(parse(keepParsableLines(source.text))),
  );
  const schemaFaults = parsed.success
    ? []
    : parsed.error.issues.flatMap(issue =>
        issueToFaults(issue, source, schema),
      );
  const faults = [...lineFaults, ...schemaFaults];
  return faults.length === 0 && parsed.success
    ? ok(parsed.data)
    : err(ConfigurationFaults.create(faults));
}

/** Removes lines that are neither a section nor a key. */
function keepParsableLines(text: string): string {
  return text
    .split(/\r?\n/)
    .filter(raw => {
      const line = raw.trim();
      return SECTION_LINE.test(line) || KEY_LINE.test(line);
    })
    .join('\n');
}

/** Converts the INI library's objects, which have no prototype. */
function toPlainObject(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

/** Finds duplicate and malformed lines, which the INI library accepts. */
function findLineFaults(source: SourceText): Fault[] {
  const seen = new Set<string>();
  let section = '';
  return source.text.split(/\r?\n/).flatMap((raw, index) => {
    const line = raw.trim();
    if (line === '' || COMMENT_LINE.test(line)) {
      return [];
    }
    const sectionName = SECTION_LINE.exec(line)?.groups?.['name'];
    if (sectionName !== undefined) {
      section = sectionName;
      return isDuplicate(seen, `[${section}]`)
        ? [duplicateSectionFault(source, section)]
        : [];
    }
    const key = KEY_LINE.exec(line)?.groups?.['key'];
    if (key === undefined) {
      return [malformedLineFault(source, section, index + 1)];
    }
    return !key.endsWith(LIST_SUFFIX) && isDuplicate(seen, `${section}\n${key}`)
      ? [duplicateKeyFault(source, section, key)]
      : [];
  });
}

/** Returns whether `seen` contains a name, and adds it. */
function isDuplicate(seen: Set<string>, name: string): boolean {
  const wasSeen = seen.has(name);
  seen.add(name);
  return wasSeen;
}

function duplicateSectionFault(source: SourceText, section: string): Fault {
  return {
    file: source.file,
    section,
    key: '',
    wrong: 'the section is duplicated',
    right: 'merge the two sections',
  };
}

function duplicateKeyFault(
  source: SourceText,
  section: string,
  key: string,
): Fault {
  return {
    file: source.file,
    section,
    key,
    wrong: 'the key is duplicated',
    right: 'keep one of the two lines',
  };
}

function malformedLineFault(
  source: SourceText,
  section: string,
  line: number,
): Fault {
  return {
    file: source.file,
    section,
    key: '',
    wrong: `line ${line} is neither a section nor "key = value"`,
    right: 'write "key = value", or start a comment with ;',
  };
}

function issueToFaults(
  issue: z.core.$ZodIssue,
  source: SourceText,
  schema: z.ZodType,
): Fault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownKeyFault(source, path, key, schema));
  }
  const key = path[path.length - 1] ?? '';
  const isIndex = /^\d+$/.test(key);
  const location = isIndex ? path.slice(0, -1) : path;
  return [
    {
      file: source.file,
      section: location.slice(0, -1).join('.'),
      key: location[location.length - 1] ?? '',
      wrong: describeValue(issue, isIndex ? Number(key) : undefined),
      right: issue.message,
    },
  ];
}

function unknownKeyFault(
  source: SourceText,
  path: readonly string[],
  key: string,
  schema: z.ZodType,
): Fault {
  return {
    file: source.file,
    section: path.join('.'),
    key,
    wrong: path.length === 0 ? 'unknown section' : 'unknown key',
    right: `use one of: ${knownKeys(schema, path).join(', ')}`,
  };
}

/** Returns the keys of the schema at a path; empty when it has none. */
function knownKeys(schema: z.ZodType, path: readonly string[]): string[] {
  const found = path.reduce<unknown>(
    (current, key) => childOf(unwrap(current), key),
    schema,
  );
  const inner = unwrap(found);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

function childOf(schema: unknown, key: string): unknown {
  if (schema instanceof z.ZodObject) {
    return (schema.shape as Record<string, unknown>)[key];
  }
  return schema instanceof z.ZodRecord ? schema.valueType : undefined;
}

function unwrap(schema: unknown): unknown {
  const wrapped =
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault ||
    schema instanceof z.ZodOptional;
  return wrapped ? unwrap(schema.unwrap()) : schema;
}

function describeValue(
  issue: z.core.$ZodIssue,
  index: number | undefined,
): string {
  const prefix = index === undefined ? '' : `value ${index + 1} `;
  const input = issue.input;
  return input === undefined
    ? `${prefix}is missing`
    : `${prefix}is ${JSON.stringify(input)}`;
}
