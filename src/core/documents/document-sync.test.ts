import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildMember } from '../membership/fixtures/fake-cluster.ts';
import type { DocumentVersion, FetchDocumentsResponse, Member } from '../rpc/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { buildConfiguration, buildConfigurationDocument } from './fixtures/values.ts';
import type { DocumentStore, DocumentSync } from './index.ts';
import { createDocumentStore, createDocumentSync, MAX_SKIPPED_DIGESTS } from './index.ts';

const first = buildConfigurationDocument(10, buildConfiguration(1));
const second = buildConfigurationDocument(11, buildConfiguration(2));
const peerMember = buildMember(1, 5n);

interface Answer {
  documents: FetchDocumentsResponse['documents'];
}

interface SyncTest {
  store: DocumentStore;
  peer: DocumentStore;
  sync: DocumentSync;
  /** Versions that were announced to other members. */
  sent: DocumentVersion[];
  /** Number of held versions that each fetch request listed. */
  fetches: number[];
  /** Runs the event loop until running calls have ended. */
  runCalls(): Promise<void>;
}

/** Creates a store that exchanges documents with one peer; `answerCall` can alter its answers. */
function createSyncTest(answerCall?: (answer: Answer) => Promise<Answer>): SyncTest {
  const store = createDocumentStore();
  const peer = createDocumentStore();
  const sent: DocumentVersion[] = [];
  const fetches: number[] = [];
  const timers = createManualTimers();
  const sync = createDocumentSync({
    store,
    links: {
      getClient: () => ({
        fetchDocuments: async (request) => {
          const held = (request.held ?? []) as DocumentVersion[];
          fetches.push(held.length);
          const answer = { documents: peer.listDocumentsSince(held) };
          return (await (answerCall?.(answer) ?? answer)) as FetchDocumentsResponse;
        },
      }),
    },
    announceDocumentVersion: (version) => sent.push(version),
  });
  return { store, peer, sync, sent, fetches, runCalls: () => timers.runForAsync(1) };
}

function sendDigest({ peer, sync }: SyncTest, member: Member = peerMember): void {
  sync.handleDigest(member, peer.getDigest());
}

describe('createDocumentSync', () => {
  it('fetches from a member whose digest differs, and announces a later version', async () => {
    const test = createSyncTest();
    test.peer.applyDocument(first);
    sendDigest(test);
    await test.runCalls();
    expect(test.store.getDigest()).toEqual(test.peer.getDigest());
    expect(test.sent).toEqual([]);
    test.peer.applyDocument(second);
    const [version] = test.peer.listVersions();
    if (version !== undefined) test.sync.handleAnnouncedVersion(peerMember, version);
    await test.runCalls();
    expect(test.store.getConfiguration()?.version).toEqual(11);
    expect(test.sent.map((sent) => sent.version)).toEqual([11n]);
  });

  // Guards against fetches from members that have not yet received the newest version.
  it('fetches nothing from a member that is behind', async () => {
    const test = createSyncTest();
    [test.store, test.peer].forEach((store) => store.applyDocument(first));
    test.store.applyDocument(second);
    sendDigest(test);
    await test.runCalls();
    expect(test.fetches).toEqual([]);
  });

  // Guards against a fetch for every packet of a member whose documents are refused.
  it('fetches once for each digest of a member, and again after its restart', async () => {
    const test = createSyncTest(() => Promise.resolve({ documents: [{ ...first, hash: 1n }] }));
    test.peer.applyDocument(first);
    sendDigest(test);
    await test.runCalls();
    sendDigest(test);
    await test.runCalls();
    expect(test.fetches).toHaveLength(1);
    sendDigest(test, { ...peerMember, instance: 6n });
    await test.runCalls();
    expect(test.fetches).toHaveLength(2);
  });

  // Guards against never fetching from a restarted member after a late packet of its earlier
  // process.
  it('fetches again after some packets with the digest of the last fetch', async () => {
    const test = createSyncTest(() => Promise.resolve({ documents: [] }));
    test.peer.applyDocument(first);
    for (let packet = 0; packet <= MAX_SKIPPED_DIGESTS; packet++) {
      expect(test.fetches).toHaveLength(Math.min(1, packet));
      sendDigest(test);
      await test.runCalls();
    }
    sendDigest(test);
    await test.runCalls();
    expect(test.fetches).toHaveLength(2);
  });

  // Guards against a copy that stays outdated because deltas do not apply to it.
  it('fetches the full value when a delta does not apply', async () => {
    const test = createSyncTest(({ documents }) =>
      Promise.resolve({ documents: documents.map((document) => ({ ...document, rows: [] })) }),
    );
    [test.store, test.peer].forEach((store) => store.applyDocument(first));
    test.peer.applyDocument(second);
    sendDigest(test);
    await test.runCalls();
    expect(test.fetches).toEqual([1, 0]);
    expect(test.store.getConfiguration()?.version).toEqual(11);
  });

  // Guards against a daemon that stops fetching after one failed call.
  it('fetches again after a failed call', async () => {
    let failures = 1;
    const test = createSyncTest((answer) => {
      failures -= 1;
      return failures >= 0 ? Promise.reject(new Error('reset')) : Promise.resolve(answer);
    });
    test.peer.applyDocument(first);
    sendDigest(test);
    await test.runCalls();
    expect(test.store.getConfiguration()).toEqual(undefined);
    sendDigest(test);
    await test.runCalls();
    expect(test.store.getConfiguration()?.version).toEqual(10);
  });

  it('waits for the first configuration, or until the signal aborts', async () => {
    const test = createSyncTest();
    const abort = new AbortController();
    const aborted = test.sync.waitForConfiguration(abort.signal);
    abort.abort();
    expect(await aborted).toEqual(false);
    const copied = test.sync.waitForConfiguration();
    test.peer.applyDocument(first);
    sendDigest(test);
    expect(await copied).toEqual(true);
    expect(await test.sync.waitForConfiguration()).toEqual(true);
  });

  it('fetches nothing after it is closed', async () => {
    const test = createSyncTest();
    test.peer.applyDocument(first);
    test.sync.close();
    sendDigest(test);
    await test.runCalls();
    expect(test.fetches).toEqual([]);
  });
});
