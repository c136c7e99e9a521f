import { create } from '@bufbuild/protobuf';
import { ALLOCATION_KIND } from '../allocation/index.ts';
import { CONFIG_KIND } from '../declarations/index.ts';
import type { PlatformChange } from '../object-api/index.ts';
import type { Document, DocumentVersion } from '../rpc/index.ts';
import { DocumentKind, DocumentSchema } from '../rpc/index.ts';
import { encodeCanonicalJson } from './canonical-json.ts';
import { computeHash } from './hash.ts';

const KIND_BY_PLATFORM_KIND: Readonly<Record<string, DocumentKind>> = {
  [CONFIG_KIND]: DocumentKind.CONFIG,
  [ALLOCATION_KIND]: DocumentKind.ALLOCATION,
};

/** Formats the kind and name of a document for events, such as `config/current`. */
export function formatDocumentName({ kind, name }: Pick<DocumentVersion, 'kind' | 'name'>): string {
  return `${kind === DocumentKind.CONFIG ? CONFIG_KIND : ALLOCATION_KIND}/${name}`;
}

/** Builds a full document, without a base version, from a platform object. */
export function buildDocument(change: Omit<PlatformChange, 'writeId'>): Document {
  const text = change.deleted ? '' : encodeCanonicalJson(change.value);
  return create(DocumentSchema, {
    kind: KIND_BY_PLATFORM_KIND[change.kind] ?? DocumentKind.UNSPECIFIED,
    name: change.name,
    version: BigInt(change.version),
    deleted: change.deleted,
    body: new TextEncoder().encode(text),
    hash: change.deleted ? 0n : computeHash(text),
  });
}
