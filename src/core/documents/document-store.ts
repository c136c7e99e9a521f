import { create } from '@bufbuild/protobuf';
import { formatProblem } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Document, DocumentVersion } from '../rpc/index.ts';
import { DocumentKind, DocumentVersionSchema } from '../rpc/index.ts';
import { formatDocumentName } from './build-document.ts';
import { computeHash } from './hash.ts';
import type { StoredDocument } from './stored-document.ts';
import { encodeForPeer, findBaseVersion, updateStoredDocument } from './stored-document.ts';
import type { DocumentStore } from './types.ts';

const PART = 'documents';

/** Dependencies of a document store. */
export interface DocumentStoreOptions {
  /** Records events for accepted and refused documents. */
  recorder?: Pick<EventRecorder, 'record'>;
}

function compareNames(left: StoredDocument, right: StoredDocument): number {
  return formatDocumentName(left) < formatDocumentName(right) ? -1 : 1;
}

function buildVersion({ kind, name, version }: StoredDocument): DocumentVersion {
  return create(DocumentVersionSchema, { kind, name, version });
}

function computeDigest(stored: readonly StoredDocument[]): bigint {
  const lines = stored.map((document) => `${formatDocumentName(document)}@${document.version}`);
  return computeHash(lines.join('\n'));
}

/** Creates an empty in-memory store for copies of platform objects. */
export function createDocumentStore(options: DocumentStoreOptions = {}): DocumentStore {
  const { recorder } = options;
  const stored = new Map<string, StoredDocument>();
  const listeners = new Set<(version: DocumentVersion) => void>();
  /** Encoded documents by name and base version; cached because several peers request the same. */
  const encoded = new Map<string, Document>();
  let digest: bigint | undefined;

  const listStored = (): StoredDocument[] => [...stored.values()].sort(compareNames);

  const encodeCached = (document: StoredDocument, heldVersion: bigint): Document => {
    const baseVersion = findBaseVersion(document, heldVersion);
    const key = `${formatDocumentName(document)}-${baseVersion}`;
    const result = encoded.get(key) ?? encodeForPeer(document, baseVersion);
    encoded.set(key, result);
    return result;
  };

  const buildNextCopy = (document: Document): StoredDocument | undefined => {
    const name = formatDocumentName(document);
    const held = stored.get(name);
    if (document.kind === DocumentKind.UNSPECIFIED) return undefined;
    if (held !== undefined && document.version <= held.version) return undefined;
    try {
      return updateStoredDocument(held, document);
    } catch (error) {
      recorder?.record(PART, 'document refused', {
        document: name,
        version: String(document.version),
        problem: formatProblem(error),
      });
      return undefined;
    }
  };

  return {
    getConfiguration() {
      for (const { content, version } of stored.values()) {
        const value = content?.configuration;
        if (value !== undefined) return { version: Number(version), value };
      }
      return undefined;
    },
    listAllocations: () =>
      listStored().flatMap(({ content, version }) =>
        content?.allocation === undefined
          ? []
          : [{ version: Number(version), value: content.allocation }],
      ),
    listVersions: () => listStored().map(buildVersion),
    getDigest() {
      digest ??= computeDigest(listStored());
      return digest;
    },
    applyDocument(document) {
      const next = buildNextCopy(document);
      if (next === undefined) return false;
      const name = formatDocumentName(next);
      stored.set(name, next);
      digest = undefined;
      encoded.clear();
      recorder?.record(PART, 'document accepted', {
        document: name,
        version: String(next.version),
      });
      const version = buildVersion(next);
      listeners.forEach((listener) => listener(version));
      return true;
    },
    listDocumentsSince(held) {
      const versions = new Map(held.map((entry) => [formatDocumentName(entry), entry.version]));
      return listStored()
        .map((document) => {
          const heldVersion = versions.get(formatDocumentName(document)) ?? 0n;
          return document.version > heldVersion ? encodeCached(document, heldVersion) : undefined;
        })
        .filter((document) => document !== undefined);
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
