import { formatProblem } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Document, DocumentVersion, Member, PeerClient } from '../rpc/index.ts';
import { formatDocumentName } from './build-document.ts';
import { FETCH_DEADLINE_MS } from './consts.ts';
import { createDigestRecord } from './digest-record.ts';
import type { DocumentStore } from './types.ts';

const PART = 'documents';

/** The part of the links to other daemons that fetches documents. */
export interface DocumentLinks {
  getClient(address: string, port: number): Pick<PeerClient, 'fetchDocuments'>;
}

/** What the exchange of documents with other daemons needs. */
export interface DocumentSyncOptions {
  store: DocumentStore;
  links: DocumentLinks;
  /** Sends the version to a few random members at once. */
  sendNewestDocument: (version: DocumentVersion) => void;
  /** Records failed fetches. */
  recorder?: Pick<EventRecorder, 'record'>;
}

/** Exchange of documents with other daemons. */
export interface DocumentSync {
  /** Fetches what is missing from a member whose digest differs. */
  handleDigest(member: Member, digest: bigint): void;
  /** Fetches from a member that named a version, if it is newer. */
  handleNewest(member: Member, version: DocumentVersion): void;
  /** Resolves with true once a configuration is held, or with false when the signal aborts. */
  waitForFirstCopy(signal?: AbortSignal): Promise<boolean>;
  close(): void;
}

/** Starts the exchange of documents; its handlers are called by the membership task. */
export function createDocumentSync(options: DocumentSyncOptions): DocumentSync {
  const { links, recorder, store } = options;
  const abort = new AbortController();
  const digests = createDigestRecord(store);
  /** Versions named by members from which a fetch is running. */
  const wantedVersions = new Map<string, bigint>();
  let runningFetches = 0;
  let isFirstCopy = false;

  const applyDocuments = (documents: readonly Document[]): Document[] =>
    documents.filter((document) => {
      const isAccepted = store.applyDocument(document);
      return !isAccepted && document.baseVersion !== 0n;
    });

  const fetchDocuments = async (member: Member, held: DocumentVersion[]): Promise<Document[]> => {
    const client = links.getClient(member.address, member.peerPort);
    const callOptions = { timeoutMs: FETCH_DEADLINE_MS, signal: abort.signal };
    const { documents } = await client.fetchDocuments({ held }, callOptions);
    return documents;
  };

  /** Fetches and applies; differences that could not be applied are fetched as a whole. */
  const runFetch = async (member: Member): Promise<void> => {
    const held = store.listVersions();
    const documents = await fetchDocuments(member, held);
    if (abort.signal.aborted) return;
    // The first copy is old news to the other members.
    isFirstCopy = store.getConfiguration() === undefined;
    const refused = new Set(applyDocuments(documents).map(formatDocumentName));
    isFirstCopy = false;
    if (refused.size === 0) return;
    const others = held.filter((version) => !refused.has(formatDocumentName(version)));
    applyDocuments(await fetchDocuments(member, others));
  };

  const startFetch = async (member: Member, digest?: bigint): Promise<void> => {
    runningFetches += 1;
    try {
      await runFetch(member);
      if (digest !== undefined) digests.addFetched(member, digest);
    } catch (error) {
      if (abort.signal.aborted) return;
      recorder?.record(PART, 'fetch failed', {
        member: member.name,
        problem: formatProblem(error),
      });
    } finally {
      runningFetches -= 1;
    }
  };

  const getHeldVersion = (version: DocumentVersion): bigint =>
    store.listVersions().find((held) => held.kind === version.kind && held.name === version.name)
      ?.version ?? 0n;

  const unsubscribe = store.subscribe((version) => {
    digests.update();
    if (!isFirstCopy) options.sendNewestDocument(version);
  });

  return {
    handleDigest(member, digest) {
      if (abort.signal.aborted || runningFetches > 0) return;
      if (digests.hasNothingNew(member, digest)) return;
      void startFetch(member, digest);
    },
    handleNewest(member, version) {
      if (abort.signal.aborted || version.version <= getHeldVersion(version)) return;
      const name = formatDocumentName(version);
      if ((wantedVersions.get(name) ?? 0n) >= version.version) return;
      wantedVersions.set(name, version.version);
      void startFetch(member).finally(() => {
        if (wantedVersions.get(name) === version.version) wantedVersions.delete(name);
      });
    },
    waitForFirstCopy: (signal) =>
      new Promise((resolve) => {
        const finish = (): void => {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define
          cancel();
          signal?.removeEventListener('abort', finish);
          resolve(store.getConfiguration() !== undefined);
        };
        const cancel = store.subscribe(() => {
          if (store.getConfiguration() !== undefined) finish();
        });
        signal?.addEventListener('abort', finish);
        if (store.getConfiguration() !== undefined || signal?.aborted === true) finish();
      }),
    close() {
      abort.abort();
      unsubscribe();
    },
  };
}
