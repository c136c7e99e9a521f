import { create, toBinary } from '@bufbuild/protobuf';
import type { Allocation } from '../allocation/index.ts';
import type { Configuration } from '../declarations/index.ts';
import { CONFIG_NAME, configurationSchema } from '../declarations/index.ts';
import type { Document, DocumentVersion } from '../rpc/index.ts';
import { DocumentKind, DocumentSchema } from '../rpc/index.ts';
import { isJsonObject } from './canonical-json.ts';
import { MAX_KEPT_VERSIONS } from './consts.ts';
import { computeHash } from './hash.ts';
import { applyRowChanges, diffRowTables } from './row-changes.ts';
import type { RowTable } from './row-table.ts';
import { buildRowTable, encodeRowTable, reuseEqualRows } from './row-table.ts';
import { allocationSchema } from './schemas.ts';

/** A version of a document, split into rows. */
interface KeptVersion {
  version: bigint;
  table: RowTable;
}

/** Local copy of one platform object. */
export interface StoredDocument extends Pick<DocumentVersion, 'kind' | 'name' | 'version'> {
  /** Undefined if the object was deleted. */
  content: StoredContent | undefined;
  /** Earlier versions that serve as base versions of deltas, newest first. */
  earlier: KeptVersion[];
}

/** Value of a document that was not deleted. */
export interface StoredContent {
  table: RowTable;
  /** Canonical JSON of the value. */
  text: string;
  hash: bigint;
  configuration?: Configuration;
  allocation?: Allocation;
}

/** Thrown when a document is refused; the message states the reason. */
class DocumentRejectedError extends Error {}

const decoder = new TextDecoder('utf-8', { fatal: true });

function listKeptVersions(held: StoredDocument | undefined): KeptVersion[] {
  if (held === undefined) return [];
  const { content, version } = held;
  return content === undefined
    ? held.earlier
    : [{ version, table: content.table }, ...held.earlier];
}

function buildTable(document: Document, kept: readonly KeptVersion[]): RowTable {
  if (document.baseVersion === 0n) {
    const value: unknown = JSON.parse(decoder.decode(document.body));
    if (!isJsonObject(value)) throw new DocumentRejectedError('the value must be an object');
    const table = buildRowTable(document.kind, value);
    const [newest] = kept;
    return newest === undefined ? table : reuseEqualRows(table, newest.table);
  }
  const base = kept.find(({ version }) => version === document.baseVersion);
  if (base === undefined) {
    throw new DocumentRejectedError(`base version ${document.baseVersion} is not held`);
  }
  return applyRowChanges(base.table, document.rows);
}

/** Validates the value with the schema of its kind. */
function parseContent(document: Document, table: RowTable, text: string): StoredContent {
  const value: unknown = JSON.parse(text);
  if (document.kind === DocumentKind.CONFIG) {
    if (document.name !== CONFIG_NAME)
      throw new DocumentRejectedError('the name of the configuration is unknown');
    const configuration = configurationSchema.parse(value);
    return { table, text, hash: document.hash, configuration };
  }
  const allocation = allocationSchema.parse(value);
  if (allocation.fabricDomain !== document.name) {
    throw new DocumentRejectedError(
      `the value belongs to fabric domain ${allocation.fabricDomain}`,
    );
  }
  return { table, text, hash: document.hash, allocation };
}

/**
 * Builds the copy that replaces the held one from a newer document. Throws `DocumentRejectedError`
 * or a parse error when the document is invalid.
 */
export function updateStoredDocument(
  held: StoredDocument | undefined,
  document: Document,
): StoredDocument {
  const { kind, name, version } = document;
  const kept = listKeptVersions(held);
  const earlier = kept.slice(0, MAX_KEPT_VERSIONS);
  if (document.deleted) {
    if (kind === DocumentKind.CONFIG) {
      throw new DocumentRejectedError('the configuration must not be deleted');
    }
    return { kind, name, version, content: undefined, earlier };
  }
  const table = buildTable(document, kept);
  const text = encodeRowTable(table);
  if (computeHash(text) !== document.hash)
    throw new DocumentRejectedError('the hash does not match');
  return { kind, name, version, content: parseContent(document, table, text), earlier };
}

function encodeFullDocument(stored: StoredDocument): Document {
  const { kind, name, version, content } = stored;
  return create(DocumentSchema, {
    kind,
    name,
    version,
    deleted: content === undefined,
    body: new TextEncoder().encode(content?.text ?? ''),
    hash: content?.hash ?? 0n,
  });
}

/** Returns the version that a peer holds if it is kept as a base version, and 0 otherwise. */
export function findBaseVersion(stored: StoredDocument, heldVersion: bigint): bigint {
  return stored.earlier.some((kept) => kept.version === heldVersion) ? heldVersion : 0n;
}

/**
 * Encodes a document for a peer that holds the base version. Returns a delta if that version is
 * kept, the changed rows rebuild the value exactly and the delta is smaller; otherwise the full
 * value.
 */
export function encodeForPeer(stored: StoredDocument, baseVersion: bigint): Document {
  const { kind, name, version, content } = stored;
  const base = stored.earlier.find((kept) => kept.version === baseVersion);
  if (content === undefined || base === undefined) return encodeFullDocument(stored);
  const rows = diffRowTables(base.table, content.table);
  if (encodeRowTable(applyRowChanges(base.table, rows)) !== content.text) {
    return encodeFullDocument(stored);
  }
  const { hash } = content;
  const fields = { kind, name, version, baseVersion: base.version, rows, hash };
  const delta = create(DocumentSchema, fields);
  const isSmaller = toBinary(DocumentSchema, delta).length < content.text.length;
  return isSmaller ? delta : encodeFullDocument(stored);
}
