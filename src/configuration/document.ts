/**
 * The configuration document, stored under one key: all templates and
 * workspaces of one revision, with the generations of each address.
 */
import {gunzipSync, gzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Key of the current document in the store. */
export const DOCUMENT_KEY = 'weldyard/configuration';

/** Number of recent edits listed in a document, and of documents kept. */
export const EDIT_HISTORY_SIZE = 64;

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
  /** Time of the edit by the operator's clock, in wall milliseconds. */
  atMs: z.number(),
  /** Names of the sources that the edit added, replaced or removed. */
  changed: z.array(z.string()),
});

const documentSchema = z.object({
  revision: z.number(),
  /** The most recent edits, oldest first. */
  edits: z.array(editSchema),
  /** INI texts by "template/NAME" or "workspace/NAME". */
  sources: z.record(z.string(), z.string()),
  /** Generations by "ip:port", oldest first. */
  generations: z.record(z.string(), z.array(generationSchema)),
});

/** One accepted edit. */
export type AcceptedEdit = z.output<typeof editSchema>;
/** A generation of an address as stored in the document. */
export type StoredGeneration = z.output<typeof generationSchema>;
/** The configuration of one revision. */
export type ConfigurationDocument = z.output<typeof documentSchema>;

/** The stored bytes cannot be decoded as a configuration document. */
export class DocumentUnreadable extends Error {
  readonly type = 'DocumentUnreadable';
  /** Creates the failure. */
  static create(cause: string): DocumentUnreadable {
    return new DocumentUnreadable(
      `cannot decode the configuration document: ${cause}`,
    );
  }
}

/** The document before the first edit. */
export const EMPTY_DOCUMENT: ConfigurationDocument = {
  revision: 0,
  edits: [],
  sources: {},
  generations: {},
};

/** Encodes a document as gzip-compressed JSON. */
export function encodeDocument(document: ConfigurationDocument): Uint8Array {
  return gzipSync(JSON.stringify(document));
}

/** Decodes a document; no bytes decode to the empty document. */
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
