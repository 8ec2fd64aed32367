/**
 * Edits the configuration document in the store by compare-and-swap. The edit's
 * id in the document tells whether it took effect when the reply was lost.
 */
import {err, ok, type Result} from 'neverthrow';
import {match} from 'ts-pattern';
import type {Clock} from '../ports/clock.js';
import type {Store, StoreFailure, StoredValue} from '../ports/store.js';
import {
  DOCUMENT_KEY,
  EDIT_HISTORY_SIZE,
  decodeDocument,
  encodeDocument,
  type AcceptedEdit,
  type ConfigurationDocument,
  type DocumentUnreadable,
} from './document.js';
import type {ConfigurationFaults} from './faults.js';
import {nextDocument, type Edit} from './revision.js';

const READ_RETRY_INTERVAL_MS = 100;
const MAX_REBASES = 20;

/** Another edit was accepted after the revision that this one is based on. */
export class EditConflict extends Error {
  readonly type = 'EditConflict';

  private constructor(
    /** The revision that the edit is based on. */
    readonly base: number,
    /** The edits accepted since that revision, oldest first. */
    readonly others: readonly AcceptedEdit[],
    message: string,
  ) {
    super(message);
  }

  /** Creates the conflict of an edit based on revision `base`. */
  static create(base: number, others: readonly AcceptedEdit[]): EditConflict {
    const list = others
      .map(
        edit =>
          `${edit.revision} by ${edit.editor}: ${edit.changed.join(', ')}`,
      )
      .join('; ');
    const message = `the configuration changed after revision ${base}: ${list}`;
    return new EditConflict(base, others, message);
  }
}

/** The store did not reply by the deadline; the edit may have taken effect. */
export class EditUnsettled extends Error {
  readonly type = 'EditUnsettled';
  /** Creates the failure for one edit. */
  static create(editId: string, cause: StoreFailure): EditUnsettled {
    return new EditUnsettled(
      `edit ${editId} may or may not have taken effect (${cause.message}); ` +
        'run "weldyard history" when the store is available again',
    );
  }
}

/** Why an edit was rejected, failed or has an unknown result. */
export type EditFailure =
  | ConfigurationFaults
  | DocumentUnreadable
  | EditConflict
  | EditUnsettled
  | StoreFailure;

/** A document and its version in the store. */
export interface ReadDocument {
  readonly document: ConfigurationDocument;
  readonly version: number;
}

/** Options of an edit. */
export interface EditOptions {
  /** Revision that the edit is based on; undefined: the newest. */
  readonly base?: number;
  /** Whether to apply the edit on top of later ones instead of failing. */
  readonly rebase: boolean;
  /** Time until which store calls are repeated, in monotonic milliseconds. */
  readonly deadline: number;
}

/** Reads and edits the configuration in the store. */
export class Editor {
  private constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {}

  /** Creates an editor over a store. */
  static create(store: Store, clock: Clock): Editor {
    return new Editor(store, clock);
  }

  /** Reads the newest document. */
  async read(): Promise<
    Result<ReadDocument, StoreFailure | DocumentUnreadable>
  > {
    const stored = await this.store.get(DOCUMENT_KEY);
    return stored.andThen(value => decodeStored(value));
  }

  /** Reads the document of a revision; undefined when it is not kept. */
  async readRevision(
    revision: number,
  ): Promise<
    Result<ConfigurationDocument | undefined, StoreFailure | DocumentUnreadable>
  > {
    const newest = await this.read();
    if (newest.isOk() && newest.value.document.revision === revision) {
      return ok(newest.value.document);
    }
    const stored = await this.store.get(historyKey(revision));
    return stored
      .andThen(value => decodeStored(value))
      .map(({document}) =>
        document.revision === revision ? document : undefined,
      );
  }

  /** Applies an edit and returns the document that contains it. */
  async apply(
    edit: Edit,
    options: EditOptions,
  ): Promise<Result<ConfigurationDocument, EditFailure>> {
    const read = await this.read();
    if (read.isErr()) {
      return err(read.error);
    }
    const {document} = read.value;
    const base = options.base ?? document.revision;
    return base < document.revision && !options.rebase
      ? err(EditConflict.create(base, editsSince(document, base)))
      : this.trySwap(read.value, edit, options, 0);
  }

  /** Writes the next document; when that fails, determines why. */
  private async trySwap(
    read: ReadDocument,
    edit: Edit,
    options: EditOptions,
    attempts: number,
  ): Promise<Result<ConfigurationDocument, EditFailure>> {
    const next = nextDocument(read.document, edit);
    if (next.isErr()) {
      return err(next.error);
    }
    await this.saveToHistory(read.document);
    const outcome = await this.store.compareAndSwap(
      DOCUMENT_KEY,
      encodeDocument(next.value),
      read.version,
    );
    if (outcome.isOk() && outcome.value.swapped) {
      return ok(next.value);
    }
    if (outcome.isErr() && outcome.error.type === 'ValueTooLarge') {
      return err(outcome.error);
    }
    const current = await this.readWithRetries(edit, options.deadline);
    return current.isErr()
      ? err(current.error)
      : this.resolveFailedSwap(read, current.value, edit, options, attempts);
  }

  /**
   * Decides on a swap that failed or had no reply, from the document read after
   * it: the edit took effect, is tried again, or conflicts with another one.
   */
  private async resolveFailedSwap(
    before: ReadDocument,
    current: ReadDocument,
    edit: Edit,
    options: EditOptions,
    attempts: number,
  ): Promise<Result<ConfigurationDocument, EditFailure>> {
    const tookEffect = current.document.edits.some(
      ({editId}) => editId === edit.editId,
    );
    if (tookEffect) {
      return ok(current.document);
    }
    const hasChanged = current.version !== before.version;
    const mayRetry = !hasChanged || (options.rebase && attempts < MAX_REBASES);
    const base = before.document.revision;
    return mayRetry && this.clock.now() < options.deadline
      ? this.trySwap(current, edit, options, attempts + 1)
      : err(EditConflict.create(base, editsSince(current.document, base)));
  }

  /** Reads the newest document, repeatedly until the deadline. */
  private async readWithRetries(
    edit: Edit,
    deadline: number,
  ): Promise<Result<ReadDocument, EditUnsettled | DocumentUnreadable>> {
    const read = await this.read();
    if (read.isOk()) {
      return ok(read.value);
    }
    if (read.error.type === 'DocumentUnreadable') {
      return err(read.error);
    }
    if (this.clock.now() >= deadline) {
      return err(EditUnsettled.create(edit.editId, read.error));
    }
    await new Promise<void>(resolve => {
      this.clock.callAt(this.clock.now() + READ_RETRY_INTERVAL_MS, resolve);
    });
    return this.readWithRetries(edit, deadline);
  }

  /**
   * Copies the document that is about to be replaced to the history. Doing so
   * before the swap means that a crash after it loses no revision.
   */
  private async saveToHistory(document: ConfigurationDocument): Promise<void> {
    if (document.revision === 0) {
      return;
    }
    const key = historyKey(document.revision);
    const stored = await this.store.get(key);
    const saved = stored.isOk() ? decodeStored(stored.value) : undefined;
    const savedRevision =
      saved?.isOk() === true ? saved.value.document.revision : 0;
    if (stored.isOk() && savedRevision < document.revision) {
      await this.store.compareAndSwap(
        key,
        encodeDocument(document),
        stored.value.version,
      );
    }
  }
}

/** Returns the key of a past revision; keys are reused as a ring buffer. */
function historyKey(revision: number): string {
  return `weldyard/history/${revision % EDIT_HISTORY_SIZE}`;
}

function decodeStored(
  stored: StoredValue,
): Result<ReadDocument, DocumentUnreadable> {
  return decodeDocument(stored.value).map(document => ({
    document,
    version: stored.version,
  }));
}

function editsSince(
  document: ConfigurationDocument,
  base: number,
): AcceptedEdit[] {
  return document.edits.filter(({revision}) => revision > base);
}

/** Returns what the operator can do about a failed edit. */
export function adviceFor(failure: EditFailure): string {
  return match(failure)
    .with(
      {type: 'ConfigurationFaults'},
      () => 'correct the file and apply it again',
    )
    .with(
      {type: 'EditConflict'},
      () => 'review the other edits, then apply again with --rebase',
    )
    .with(
      {type: 'EditUnsettled'},
      () => 'look for the id of the edit in "weldyard history"',
    )
    .with(
      {type: 'StoreUnavailable'},
      () => 'nothing was changed; apply again when the store is available',
    )
    .with({type: 'ValueTooLarge'}, () => 'remove workspaces or shorten texts')
    .with(
      {type: 'DocumentUnreadable'},
      () => 'check the configuration document in the store',
    )
    .exhaustive();
}
