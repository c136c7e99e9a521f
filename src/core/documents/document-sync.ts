import { formatProblem } from '../errors/index.ts';
import type { EventRecorder } from '../events/index.ts';
import type { Document, DocumentVersion, Member, PeerClient } from '../rpc/index.ts';
import { formatDocumentName } from './build-document.ts';
import { FETCH_DEADLINE_MS } from './consts.ts';
import { createDigestCache } from './digest-cache.ts';
import type { DocumentStore } from './types.ts';

const PART = 'documents';

/** The subset of `PeerLinks` that fetches documents from other daemons. */
export interface DocumentLinks {
  getClient(address: string, port: number): Pick<PeerClient, 'fetchDocuments'>;
}

/** Dependencies of the exchange of documents with other daemons. */
export interface DocumentSyncOptions {
  store: DocumentStore;
  links: DocumentLinks;
  /** Announces a version to a few random members immediately. */
  announceDocumentVersion: (version: DocumentVersion) => void;
  /** Records events for failed fetches. */
  recorder?: Pick<EventRecorder, 'record'>;
}

/** Exchange of documents with other daemons. */
export interface DocumentSync {
  /** Fetches missing documents from a member with a differing digest, unless a fetch is running. */
  handleDigest(member: Member, digest: bigint): void;
  /** Fetches from a member that announced a version, if it is newer than the held one. */
  handleAnnouncedVersion(member: Member, version: DocumentVersion): void;
  /**
   * Resolves with true once the store holds a configuration, or with false if the signal aborts.
   */
  waitForConfiguration(signal?: AbortSignal): Promise<boolean>;
  /** Aborts running fetches and stops the exchange. */
  close(): void;
}

/** Starts the exchange of documents; the membership task calls its handlers. */
export function createDocumentSync(options: DocumentSyncOptions): DocumentSync {
  const { links, recorder, store } = options;
  const abort = new AbortController();
  const digestCache = createDigestCache(store);
  /** Announced versions for which a fetch is running, by document name. */
  const fetchingVersions = new Map<string, bigint>();
  let runningFetches = 0;
  let isInitialFetch = false;

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

  /** Fetches and applies documents; fetches the full documents of deltas that did not apply. */
  const runFetch = async (member: Member): Promise<void> => {
    const held = store.listVersions();
    const documents = await fetchDocuments(member, held);
    if (abort.signal.aborted) return;
    // The other members already hold what this daemon fetches first, so it is not announced.
    isInitialFetch = store.getConfiguration() === undefined;
    const refused = new Set(applyDocuments(documents).map(formatDocumentName));
    isInitialFetch = false;
    if (refused.size === 0) return;
    const others = held.filter((version) => !refused.has(formatDocumentName(version)));
    applyDocuments(await fetchDocuments(member, others));
  };

  const startFetch = async (member: Member, digest?: bigint): Promise<void> => {
    runningFetches += 1;
    try {
      await runFetch(member);
      if (digest !== undefined) digestCache.addFetchedDigest(member, digest);
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
    digestCache.addOwnDigest();
    if (!isInitialFetch) options.announceDocumentVersion(version);
  });

  return {
    handleDigest(member, digest) {
      if (abort.signal.aborted || runningFetches > 0) return;
      if (digestCache.hasNothingNew(member, digest)) return;
      void startFetch(member, digest);
    },
    handleAnnouncedVersion(member, version) {
      if (abort.signal.aborted || version.version <= getHeldVersion(version)) return;
      const name = formatDocumentName(version);
      if ((fetchingVersions.get(name) ?? 0n) >= version.version) return;
      fetchingVersions.set(name, version.version);
      void startFetch(member).finally(() => {
        if (fetchingVersions.get(name) === version.version) fetchingVersions.delete(name);
      });
    },
    waitForConfiguration: (signal) =>
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
