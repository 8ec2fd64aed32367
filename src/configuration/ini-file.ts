/** INI files checked against a schema; all faults are found at once. */
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {ConfigurationFaults, type Fault} from './faults.js';

/** The text of a file and the name to show for it. */
export interface SourceText {
  readonly file: string;
  readonly text: string;
}

const SECTION_LINE = /^\[(?<name>[^\]]*)\]$/;
const KEY_LINE = /^(?<key>[^=]+?)\s*=/;
const COMMENT_LINE = /^[;#]/;
const LIST_SUFFIX = '[]';

/** Reads a file into a schema's type. */
export function readIniFile<T extends z.ZodType>(
  source: SourceText,
  schema: T,
): Result<z.output<T>, ConfigurationFaults> {
  const lineFaults = findLineFaults(source);
  const parsed = schema.safeParse(plain(parse(readableLines(source.text))));
  const schemaFaults = parsed.success
    ? []
    : parsed.error.issues.flatMap(issue => faultsOf(issue, source, schema));
  const faults = [...lineFaults, ...schemaFaults];
  return faults.length === 0 && parsed.success
    ? ok(parsed.data)
    : err(ConfigurationFaults.create(faults));
}

/** The text without lines that are told of as garbage. */
function readableLines(text: string): string {
  return text
    .split(/\r?\n/)
    .filter(raw => {
      const line = raw.trim();
      return SECTION_LINE.test(line) || KEY_LINE.test(line);
    })
    .join('\n');
}

/** The library's objects have no prototype; schemas want plain ones. */
function plain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

/** Lines that the library would take without a word: repeats and garbage. */
function findLineFaults(source: SourceText): Fault[] {
  const seen = new Set<string>();
  let section = '';
  return source.text.split(/\r?\n/).flatMap((raw, index) => {
    const line = raw.trim();
    if (line === '' || COMMENT_LINE.test(line)) {
      return [];
    }
    const heading = SECTION_LINE.exec(line)?.groups?.['name'];
    if (heading !== undefined) {
      section = heading;
      return repeated(seen, `[${section}]`)
        ? [sectionRepeated(source, section)]
        : [];
    }
    const key = KEY_LINE.exec(line)?.groups?.['key'];
    if (key === undefined) {
      return [notAKey(source, section, index + 1)];
    }
    return !key.endsWith(LIST_SUFFIX) && repeated(seen, `${section}\n${key}`)
      ? [keyRepeated(source, section, key)]
      : [];
  });
}

function repeated(seen: Set<string>, name: string): boolean {
  const known = seen.has(name);
  seen.add(name);
  return known;
}

function sectionRepeated(source: SourceText, section: string): Fault {
  return {
    file: source.file,
    section,
    key: '',
    wrong: 'the section is there twice',
    right: 'join the two sections',
  };
}

function keyRepeated(source: SourceText, section: string, key: string): Fault {
  return {
    file: source.file,
    section,
    key,
    wrong: 'the key is there twice',
    right: 'keep one of the two lines',
  };
}

function notAKey(source: SourceText, section: string, line: number): Fault {
  return {
    file: source.file,
    section,
    key: '',
    wrong: `line ${line} is neither a section nor "key = value"`,
    right: 'write "key = value", or put ; in front of a comment',
  };
}

function faultsOf(
  issue: z.core.$ZodIssue,
  source: SourceText,
  schema: z.ZodType,
): Fault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownKey(source, path, key, schema));
  }
  const key = path[path.length - 1] ?? '';
  const isIndex = /^\d+$/.test(key);
  const place = isIndex ? path.slice(0, -1) : path;
  return [
    {
      file: source.file,
      section: place.slice(0, -1).join('.'),
      key: place[place.length - 1] ?? '',
      wrong: describe(issue, isIndex ? Number(key) : undefined),
      right: issue.message,
    },
  ];
}

function unknownKey(
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
    right: `known here: ${knownKeys(schema, path).join(', ')}`,
  };
}

/** The keys that a schema has at a path. */
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

function describe(issue: z.core.$ZodIssue, index: number | undefined): string {
  const place = index === undefined ? '' : `value ${index + 1} `;
  const input = issue.input;
  return input === undefined
    ? `${place}is missing`
    : `${place}is ${JSON.stringify(input)}`;
}
