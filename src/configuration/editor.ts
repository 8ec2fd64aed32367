/**
 * Edits of the configuration: compare-and-swap against the revision read,
 * with an edit id that tells whether an edit took effect when its answer was
 * lost.
 */
import {err, ok, type Result} from 'neverthrow';
import {match} from 'ts-pattern';
import type {Clock} from '../ports/clock.js';
import type {Store, StoreFailure, StoredValue} from '../ports/store.js';
import {
  DOCUMENT_KEY,
  RECENT_EDITS,
  decodeDocument,
  encodeDocument,
  type AcceptedEdit,
  type ConfigurationDocument,
  type DocumentUnreadable,
} from './document.js';
import type {ConfigurationFaults} from './faults.js';
import {nextDocument, type Edit} from './revision.js';

const PAUSE_MS = 100;
const MAXIMUM_REBASES = 20;

/** Somebody else's edit came first. */
export class EditConflict extends Error {
  readonly type = 'EditConflict';

  private constructor(
    /** The revision that the edit was made against. */
    readonly base: number,
    /** The edits accepted since, oldest first. */
    readonly others: readonly AcceptedEdit[],
    message: string,
  ) {
    super(message);
  }

  /** Creates the conflict of an edit made against `base`. */
  static create(base: number, others: readonly AcceptedEdit[]): EditConflict {
    const list = others
      .map(
        edit =>
          `${edit.revision} by ${edit.editor}: ${edit.changed.join(', ')}`,
      )
      .join('; ');
    const message = `the configuration is past revision ${base}: ${list}`;
    return new EditConflict(base, others, message);
  }
}

/** The store did not answer until the deadline; the edit may be in it. */
export class EditUnsettled extends Error {
  readonly type = 'EditUnsettled';
  /** Creates the failure for one edit. */
  static create(editId: string, cause: StoreFailure): EditUnsettled {
    return new EditUnsettled(
      `edit ${editId} may or may not have taken effect (${cause.message}); ` +
        'run "weldyard history" when the store is back',
    );
  }
}

/** Why an edit was not made, or is not known to be made. */
export type EditFailure =
  | ConfigurationFaults
  | DocumentUnreadable
  | EditConflict
  | EditUnsettled
  | StoreFailure;

/** A document and the store version that it was read at. */
export interface ReadDocument {
  readonly document: ConfigurationDocument;
  readonly version: number;
}

/** What an edit may depend on. */
export interface EditOptions {
  /** Revision the operator looked at; undefined: whatever is newest. */
  readonly base?: number;
  /** Whether to make the edit on top of others' edits. */
  readonly rebase: boolean;
  /** Monotonic milliseconds until which the store is asked. */
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

  /** Reads an earlier document that is still kept. */
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

  /** Makes an edit; the result is the document that holds it. */
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
      : this.swap(read.value, edit, options, 0);
  }

  /** Tries the swap, and after a lost answer finds out what became of it. */
  private async swap(
    read: ReadDocument,
    edit: Edit,
    options: EditOptions,
    tries: number,
  ): Promise<Result<ConfigurationDocument, EditFailure>> {
    const next = nextDocument(read.document, edit);
    if (next.isErr()) {
      return err(next.error);
    }
    await this.keepHistory(read.document);
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
    const now = await this.readUntil(edit, options.deadline);
    return now.isErr()
      ? err(now.error)
      : this.afterLostSwap(read, now.value, edit, options, tries);
  }

  private async afterLostSwap(
    before: ReadDocument,
    now: ReadDocument,
    edit: Edit,
    options: EditOptions,
    tries: number,
  ): Promise<Result<ConfigurationDocument, EditFailure>> {
    const own = now.document.edits.some(({editId}) => editId === edit.editId);
    if (own) {
      return ok(now.document);
    }
    const moved = now.version !== before.version;
    const mayRetry = !moved || (options.rebase && tries < MAXIMUM_REBASES);
    const base = before.document.revision;
    return mayRetry && this.clock.now() < options.deadline
      ? this.swap(now, edit, options, tries + 1)
      : err(EditConflict.create(base, editsSince(now.document, base)));
  }

  private async readUntil(
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
      this.clock.callAt(this.clock.now() + PAUSE_MS, resolve);
    });
    return this.readUntil(edit, deadline);
  }

  /**
   * Keeps the document that is about to be replaced. Whoever makes the next
   * edit writes it, so a tool that dies after its own swap loses nothing.
   */
  private async keepHistory(document: ConfigurationDocument): Promise<void> {
    if (document.revision === 0) {
      return;
    }
    const key = historyKey(document.revision);
    const stored = await this.store.get(key);
    const kept = stored.isOk() ? decodeStored(stored.value) : undefined;
    const known = kept?.isOk() === true ? kept.value.document.revision : 0;
    if (stored.isOk() && known < document.revision) {
      await this.store.compareAndSwap(
        key,
        encodeDocument(document),
        stored.value.version,
      );
    }
  }
}

/** Documents are kept in a ring of keys, so that the store does not fill up. */
function historyKey(revision: number): string {
  return `weldyard/history/${revision % RECENT_EDITS}`;
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

/** What a person may do about a failed edit. */
export function adviceFor(failure: EditFailure): string {
  return match(failure)
    .with({type: 'ConfigurationFaults'}, () => 'mend the file and apply again')
    .with(
      {type: 'EditConflict'},
      () => 'look at the other edits, then apply again with --rebase',
    )
    .with(
      {type: 'EditUnsettled'},
      () => 'look for the edit id in "weldyard history"',
    )
    .with(
      {type: 'StoreUnavailable'},
      () => 'nothing was changed; apply again when the store is back',
    )
    .with({type: 'ValueTooLarge'}, () => 'remove workspaces or shorten texts')
    .with({type: 'DocumentUnreadable'}, () => 'look at the store')
    .exhaustive();
}
