/**
 * The configuration document: all templates and workspaces of one revision,
 * with the generations of each address. One value of the store holds it.
 */
import {gunzipSync, gzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Key of the document in the store. */
export const DOCUMENT_KEY = 'weldyard/configuration';

/** Edits whose ids a document remembers. */
export const RECENT_EDITS = 64;

const generationSchema = z.object({
  since: z.number(),
  endedAtMs: z.number().optional(),
  workspace: z.string(),
  service: z.string(),
  flexibleShare: z.number(),
  servers: z.array(z.object({id: z.string(), weight: z.number()})),
});

const editSchema = z.object({
  revision: z.number(),
  editId: z.string(),
  editor: z.string(),
  /** Wall milliseconds of the editor's clock. */
  atMs: z.number(),
  /** Names of the sources that the edit set or removed. */
  changed: z.array(z.string()),
});

const documentSchema = z.object({
  revision: z.number(),
  /** Newest last. */
  edits: z.array(editSchema),
  /** INI text by "template/NAME" or "workspace/NAME". */
  sources: z.record(z.string(), z.string()),
  /** Oldest first, by "ip:port". */
  generations: z.record(z.string(), z.array(generationSchema)),
});

/** One accepted edit. */
export type AcceptedEdit = z.output<typeof editSchema>;
/** A generation as the document keeps it. */
export type StoredGeneration = z.output<typeof generationSchema>;
/** The configuration of one revision. */
export type ConfigurationDocument = z.output<typeof documentSchema>;

/** The bytes are no configuration document. */
export class DocumentUnreadable extends Error {
  readonly type = 'DocumentUnreadable';
  /** Creates the failure. */
  static create(cause: string): DocumentUnreadable {
    return new DocumentUnreadable(`configuration document: ${cause}`);
  }
}

/** The document before the first edit. */
export const EMPTY_DOCUMENT: ConfigurationDocument = {
  revision: 0,
  edits: [],
  sources: {},
  generations: {},
};

/** Writes a document as compressed JSON. */
export function encodeDocument(document: ConfigurationDocument): Uint8Array {
  return gzipSync(JSON.stringify(document));
}

/** Reads a document; no bytes are the empty document. */
export function decodeDocument(
  bytes: Uint8Array,
): Result<ConfigurationDocument, DocumentUnreadable> {
  if (bytes.length === 0) {
    return ok(EMPTY_DOCUMENT);
  }
  try {
    const parsed: unknown = JSON.parse(gunzipSync(bytes).toString());
    return ok(documentSchema.parse(parsed));
  } catch (error) {
    return err(DocumentUnreadable.create(String(error)));
  }
}
