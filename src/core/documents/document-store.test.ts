import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Document } from '../rpc/index.ts';
import { DocumentKind } from '../rpc/index.ts';
import {
  buildAllocation,
  buildConfiguration,
  buildConfigurationDocument,
} from './fixtures/values.ts';
import {
  buildDocument,
  createDocumentStore,
  encodeCanonicalJson,
  isLeaseRenewal,
} from './index.ts';
import { applyRowChanges, diffRowTables } from './row-changes.ts';
import { buildRowTable, encodeRowTable } from './row-table.ts';

const SEED = 77;

const first = buildConfigurationDocument(10, buildConfiguration(1));
const second = buildConfigurationDocument(11, buildConfiguration(2));

interface RefusalCase {
  title: string;
  document: Document;
}

const refusalCases: RefusalCase[] = [
  { title: 'an older version', document: buildConfigurationDocument(9, buildConfiguration(0)) },
  { title: 'the same version', document: buildConfigurationDocument(10, buildConfiguration(2)) },
  { title: 'a wrong hash', document: { ...second, hash: second.hash + 1n } },
  { title: 'a body that is not JSON', document: { ...second, body: new Uint8Array([123]) } },
  {
    title: 'a value that does not match the schema',
    document: buildConfigurationDocument(11, { servingGroups: [{ name: 'UPPER' }] }),
  },
  { title: 'a deleted configuration', document: { ...second, deleted: true } },
  { title: 'an unknown kind', document: { ...second, kind: DocumentKind.UNSPECIFIED } },
  { title: 'a delta against an unknown version', document: { ...second, baseVersion: 5n } },
  { title: 'a delta without its rows', document: { ...second, baseVersion: 10n } },
];

describe('createDocumentStore', () => {
  for (const testCase of refusalCases) {
    // Guards against replacing a copy by an older version or by an incomplete or invalid document.
    it(`refuses ${testCase.title} and keeps its copy`, () => {
      const store = createDocumentStore();
      store.applyDocument(first);
      const digest = store.getDigest();
      expect(store.applyDocument(testCase.document)).toEqual(false);
      expect(store.getConfiguration()).toEqual({ version: 10, value: buildConfiguration(1) });
      expect(store.getDigest()).toEqual(digest);
    });
  }

  it('sends a delta to a peer with a recent version and the full value to other peers', () => {
    const store = createDocumentStore();
    const peer = createDocumentStore();
    const late = createDocumentStore();
    [store, peer].forEach((each) => each.applyDocument(first));
    late.applyDocument(buildConfigurationDocument(3, buildConfiguration(0)));
    store.applyDocument(second);
    const [delta] = store.listDocumentsSince(peer.listVersions());
    const [full] = store.listDocumentsSince(late.listVersions());
    expect(delta?.baseVersion).toEqual(10n);
    expect(delta?.rows.map((row) => row.path)).toEqual([
      'changes/write-2',
      'limits/orchard',
      'weights/orchard/assistant/assistant-0',
    ]);
    expect(full?.baseVersion).toEqual(0n);
    [peer, late].forEach((each) =>
      store.listDocumentsSince(each.listVersions()).forEach(each.applyDocument),
    );
    expect(peer.getConfiguration()).toEqual(store.getConfiguration());
    expect(late.getConfiguration()).toEqual(store.getConfiguration());
    expect(peer.getDigest()).toEqual(store.getDigest());
  });

  it('keeps the version of a deleted allocation', () => {
    const store = createDocumentStore();
    const change = { kind: 'allocation', name: 'rack-1', deleted: false };
    const held = buildDocument({ ...change, version: 5, value: buildAllocation('rack-1', 1) });
    store.applyDocument(held);
    store.applyDocument(buildDocument({ ...change, version: 6, value: null, deleted: true }));
    expect(store.applyDocument(held)).toEqual(false);
    expect(store.listAllocations()).toEqual([]);
    expect(store.listVersions().map(({ version }) => version)).toEqual([6n]);
  });

  it('refuses an allocation whose value names another fabric domain', () => {
    const value = buildAllocation('rack-2', 1);
    const document = buildDocument({
      kind: 'allocation',
      name: 'rack-1',
      version: 1,
      value,
      deleted: false,
    });
    expect(createDocumentStore().applyDocument(document)).toEqual(false);
  });

  // Guards against a daemon that returns to an older version when documents arrive late or twice.
  it(`never returns to an older version for any order of arrival, seed ${SEED}`, () => {
    const documents = Array.from({ length: 6 }, (_, index) =>
      buildConfigurationDocument(index + 1, buildConfiguration(index)),
    );
    const property = fc.property(fc.array(fc.nat(5), { maxLength: 20 }), (order) => {
      const store = createDocumentStore();
      let highest = 0;
      for (const index of order) {
        const document = documents[index];
        if (document !== undefined) store.applyDocument(document);
        highest = Math.max(highest, index + 1);
        expect(store.getConfiguration()?.version).toEqual(highest);
        expect(store.getConfiguration()?.value).toEqual(buildConfiguration(highest - 1));
      }
    });
    fc.assert(property, { seed: SEED });
  });
});

const rowName = fc.constantFrom('a', 'b', 'c', 'd/e', 'f#order', '__proto__');
const configurationValue = fc.record(
  {
    limits: fc.uniqueArray(fc.record({ customer: rowName, limit: fc.nat(3) }), {
      selector: (row) => row.customer,
    }),
    changes: fc.array(fc.record({ writeId: rowName })),
    other: fc.jsonValue(),
  },
  { requiredKeys: [] },
);

describe('diffRowTables', () => {
  // Guards against a delta that rebuilds a value with rows in another order or with extra rows.
  it(`returns row changes that rebuild the value exactly, seed ${SEED}`, () => {
    const property = fc.property(configurationValue, configurationValue, (before, after) => {
      const base = buildRowTable(DocumentKind.CONFIG, before);
      const next = buildRowTable(DocumentKind.CONFIG, after);
      const rebuilt = applyRowChanges(base, diffRowTables(base, next));
      expect(encodeRowTable(rebuilt)).toEqual(encodeCanonicalJson(after));
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

describe('isLeaseRenewal', () => {
  it('compares everything except the renewal counter', () => {
    const held = buildAllocation('rack-1', 1);
    expect(isLeaseRenewal(held, buildAllocation('rack-1', 2))).toEqual(true);
    const released = { ...held, lease: { ...held.lease, released: true } };
    expect(isLeaseRenewal(held, released)).toEqual(false);
  });
});
