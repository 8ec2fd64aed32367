/** The commands that read and edit the configuration; each returns its exit code. */
import {randomUUID} from 'node:crypto';
import {Result} from 'neverthrow';
import {adviceFor, type EditFailure} from '../configuration/editor.js';
import type {ConfigurationDocument} from '../configuration/document.js';
import {
  formatFault,
  type ConfigurationFaults,
  type Fault,
} from '../configuration/faults.js';
import {readIniFile} from '../configuration/ini-file.js';
import {processSettingsSchema} from '../configuration/process-settings.js';
import {nextDocument, type Edit} from '../configuration/revision.js';
import {sourceNameOf} from '../configuration/services.js';
import {
  ENTRY_SECTION_PATTERN,
  readEntrySettings,
} from '../entry/settings-file.js';
import {
  ExitCode,
  print,
  printError,
  type CommonOptions,
} from './command-output.js';
import {Platform, readText} from './platform.js';
import {compareTexts} from './text-difference.js';
import {formatTable} from './text-table.js';

/** Time limit for the store to accept an edit. */
const EDIT_TIMEOUT_MS = 15_000;
/** Time limit for an edit to become active on all daemons. */
const MAX_WAIT_MS = 30_000;
const POLL_INTERVAL_MS = 100;
const REVISION_PATTERN = /^\d+$/;

/** Options of `apply`. */
export interface ApplyOptions extends CommonOptions {
  readonly editor?: string;
  readonly base?: string;
  readonly rebase?: boolean;
  readonly wait?: boolean;
  readonly dryRun?: boolean;
  readonly remove?: string | string[];
}

/** `check FILE...`: validates settings, templates and workspaces. */
export function check(files: readonly string[], json: boolean): ExitCode {
  const faults = files.flatMap(checkFile);
  if (json) {
    print(JSON.stringify({faults}));
  } else if (faults.length === 0) {
    print(`${files.length} file(s) valid`);
  } else {
    faults.forEach(fault => printError(formatFault(fault)));
  }
  return faults.length === 0 ? ExitCode.DONE : ExitCode.FAILED;
}

function checkFile(file: string): readonly Fault[] {
  return readText(file)
    .andThen(text => checkText(file, text))
    .match(
      () => [],
      failure => failure.faults,
    );
}

/** Validates a file; its sections tell which kind of file it is. */
function checkText(
  file: string,
  text: string,
): Result<string, ConfigurationFaults> {
  if (ENTRY_SECTION_PATTERN.test(text)) {
    return readEntrySettings(file, text).map(() => file);
  }
  return /^\s*\[(daemon|listen|platform)\]/m.test(text)
    ? readIniFile({file, text}, processSettingsSchema).map(() => file)
    : sourceNameOf(file, text);
}

/** `apply FILE...`: submits all files as one edit. */
export async function apply(
  platform: Platform,
  files: readonly string[],
  options: ApplyOptions,
): Promise<ExitCode> {
  if (options.base !== undefined && !REVISION_PATTERN.test(options.base)) {
    printError(`--base: "${options.base}" is not the number of a revision`);
    return ExitCode.USAGE_ERROR;
  }
  const changes = readChanges(files, options.remove);
  if (changes.isErr()) {
    printError(changes.error.message);
    return ExitCode.FAILED;
  }
  const edit: Edit = {
    editId: randomUUID(),
    editor: options.editor ?? process.env['USER'] ?? 'operator',
    atMs: Date.now(),
    changes: changes.value,
  };
  return options.dryRun === true
    ? showDryRun(platform, edit, options)
    : submitEdit(platform, edit, options);
}

function readChanges(
  files: readonly string[],
  remove: string | string[] | undefined,
) {
  const texts = files.map(file =>
    readText(file).andThen(text =>
      sourceNameOf(file, text).map(name => [name, text] as const),
    ),
  );
  const removed = [remove ?? []].flat().map(name => [name, null] as const);
  return Result.combine(texts).map((pairs): Edit['changes'] =>
    Object.fromEntries([...pairs, ...removed]),
  );
}

async function submitEdit(
  platform: Platform,
  edit: Edit,
  options: ApplyOptions,
): Promise<ExitCode> {
  const result = await platform.editor.apply(edit, {
    base: options.base === undefined ? undefined : Number(options.base),
    rebase: options.rebase === true,
    deadline: platform.clock.now() + EDIT_TIMEOUT_MS,
  });
  if (result.isErr()) {
    return reportFailure(result.error, options);
  }
  const own = result.value.edits.find(({editId}) => editId === edit.editId);
  const revision = own?.revision ?? result.value.revision;
  if (options.json !== true) {
    print(`accepted as revision ${revision} (edit ${edit.editId})`);
  }
  const missing =
    options.wait === true ? await waitUntilActive(platform, revision) : [];
  if (options.json === true) {
    print(JSON.stringify({revision, editId: edit.editId, missing}));
  }
  return missing.length === 0 ? ExitCode.DONE : ExitCode.FAILED;
}

function reportFailure(failure: EditFailure, options: CommonOptions): ExitCode {
  if (options.json === true) {
    print(JSON.stringify({failure: failure.type, message: failure.message}));
  } else {
    printError(`${failure.type}: ${failure.message}`);
    printError(adviceFor(failure));
  }
  return ExitCode.FAILED;
}

/**
 * Waits until the revision is active on every daemon. Returns the ids of daemons on which
 * it is not when the time is over.
 */
async function waitUntilActive(
  platform: Platform,
  revision: number,
): Promise<string[]> {
  const deadline = platform.clock.now() + MAX_WAIT_MS;
  const startedMs = platform.clock.now();
  let missing = await listDaemonsBehind(platform, revision);
  let shown = -1;
  while (missing.length > 0 && platform.clock.now() < deadline) {
    if (missing.length !== shown) {
      shown = missing.length;
      printError(`waiting for ${missing.join(', ')}`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    missing = await listDaemonsBehind(platform, revision);
  }
  const seconds = ((platform.clock.now() - startedMs) / 1_000).toFixed(1);
  printError(
    missing.length === 0
      ? `active on every daemon after ${seconds} s`
      : `not active after ${seconds} s on: ${missing.join(', ')}`,
  );
  return missing;
}

/**
 * Lists the daemons on which a revision is not active; names the instance list while it
 * is unavailable, since nothing is known then.
 */
export async function listDaemonsBehind(
  platform: Platform,
  revision: number,
): Promise<string[]> {
  const statuses = await platform.readListedStatuses();
  if (statuses === undefined) {
    return ['the instance list'];
  }
  return statuses
    .filter(({answer}) => (answer?.revision ?? 0) < revision)
    .map(({id}) => id);
}

async function showDryRun(
  platform: Platform,
  edit: Edit,
  options: ApplyOptions,
): Promise<ExitCode> {
  const read = await platform.editor.read();
  if (read.isErr()) {
    return reportFailure(read.error, options);
  }
  const before = read.value.document;
  const after = nextDocument(before, edit);
  if (after.isErr()) {
    return reportFailure(after.error, options);
  }
  printSourceDifferences(before, after.value);
  printAddressDifferences(before, after.value);
  return ExitCode.DONE;
}

function printSourceDifferences(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): void {
  const names = [
    ...new Set([...Object.keys(before.sources), ...Object.keys(after.sources)]),
  ].sort();
  names.forEach(name => {
    const lines = compareTexts(
      before.sources[name] ?? '',
      after.sources[name] ?? '',
    );
    if (lines.some(({mark}) => mark !== ' ')) {
      print(`--- ${name}`);
      lines
        .filter(({mark}) => mark !== ' ')
        .forEach(({mark, text}) => print(`${mark} ${text}`));
    }
  });
}

function printAddressDifferences(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): void {
  const serversAt = (document: ConfigurationDocument, address: string) =>
    (document.generations[address]?.at(-1)?.servers ?? []).map(({id}) => id);
  const addresses = new Set([
    ...Object.keys(before.generations),
    ...Object.keys(after.generations),
  ]);
  [...addresses].sort().forEach(address => {
    const old = serversAt(before, address);
    const next = serversAt(after, address);
    const added = next.filter(id => !old.includes(id));
    const removed = old.filter(id => !next.includes(id));
    if (added.length + removed.length > 0) {
      print(
        `address ${address}: ${next.length} server(s)` +
          `${added.map(id => ` +${id}`).join('')}` +
          `${removed.map(id => ` -${id}`).join('')}`,
      );
    }
  });
}

/** `show [SOURCE]`: prints sources of the newest or an earlier revision. */
export async function show(
  platform: Platform,
  name: string | undefined,
  options: CommonOptions & {readonly revision?: string},
): Promise<ExitCode> {
  const document = await readDocument(platform, options.revision, options);
  if (document === undefined) {
    return ExitCode.FAILED;
  }
  const sources = Object.entries(document.sources).filter(
    ([source]) => name === undefined || source === name,
  );
  if (sources.length === 0) {
    printError(`revision ${document.revision} has no source "${name ?? ''}"`);
    return ExitCode.FAILED;
  }
  if (options.json === true) {
    const {revision} = document;
    print(JSON.stringify({revision, sources: Object.fromEntries(sources)}));
  } else {
    sources.forEach(([source, text]) =>
      print(`; ${source} at revision ${document.revision}\n${text}`),
    );
  }
  return ExitCode.DONE;
}

/** `diff FROM [TO]`: compares two revisions. */
export async function diff(
  platform: Platform,
  from: string,
  to: string | undefined,
  options: CommonOptions,
): Promise<ExitCode> {
  const before = await readDocument(platform, from, options);
  const after = await readDocument(platform, to, options);
  if (before === undefined || after === undefined) {
    return ExitCode.FAILED;
  }
  printSourceDifferences(before, after);
  printAddressDifferences(before, after);
  return ExitCode.DONE;
}

async function readDocument(
  platform: Platform,
  revision: string | undefined,
  options: CommonOptions,
): Promise<ConfigurationDocument | undefined> {
  const read =
    revision === undefined
      ? (await platform.editor.read()).map(({document}) => document)
      : await platform.editor.readRevision(Number(revision));
  if (read.isErr()) {
    reportFailure(read.error, options);
    return undefined;
  }
  if (read.value === undefined) {
    printError(`revision ${revision ?? ''} is no longer stored`);
  }
  return read.value;
}

/** `history`: lists the stored edits, oldest first. */
export async function history(
  platform: Platform,
  options: CommonOptions,
): Promise<ExitCode> {
  const read = await platform.editor.read();
  if (read.isErr()) {
    return reportFailure(read.error, options);
  }
  const {edits} = read.value.document;
  if (options.json === true) {
    print(JSON.stringify({edits}));
    return ExitCode.DONE;
  }
  const rows = edits.map(edit => [
    String(edit.revision),
    new Date(edit.atMs).toISOString(),
    edit.editor,
    edit.changed.join(', '),
    edit.editId,
  ]);
  print(
    formatTable([['revision', 'time', 'editor', 'changed', 'edit'], ...rows]),
  );
  return ExitCode.DONE;
}
