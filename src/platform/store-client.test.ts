import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { StoreClient } from '../core/store/index.ts';
import { Consistency, StoreFailure, StoreKind } from '../core/store/index.ts';
import { createTimerService } from '../core/timers/index.ts';
import type { StandInStore } from '../stand-ins/store/index.ts';
import { createStandInStore, StoreFault } from '../stand-ins/store/index.ts';
import { createStoreClient } from './store-client.ts';

async function runWithStore(
  run: (store: StandInStore, client: StoreClient) => Promise<void>,
): Promise<void> {
  const store = await createStandInStore();
  const client = createStoreClient({ host: '127.0.0.1', port: store.port }, createTimerService());
  try {
    await run(store, client);
  } finally {
    await client.close();
    await store.close();
  }
}

describe('store client', () => {
  it('lists a kind over several pages', () =>
    runWithStore(async (store, client) => {
      for (let index = 0; index < 120; index++) store.putObject('servers', `i-${index}`, {});
      const result = await client.listObjects(StoreKind.Targets, Consistency.Current);
      if (result.kind !== 'ok') throw new Error(result.problem);
      expect(new Set(result.value.objects.map(({ name }) => name)).size).toEqual(120);
    }));

  it('watches changes and deletions from a revision', () =>
    runWithStore(async (store, client) => {
      const list = await client.listObjects(StoreKind.Evacuations, Consistency.Current);
      if (list.kind !== 'ok') throw new Error(list.problem);
      store.putObject('evacuations', 'a', {});
      store.removeObject('evacuations', 'a');
      const result = await client.watchObjects(StoreKind.Evacuations, list.value.revision, 500);
      if (result.kind !== 'ok') throw new Error(result.problem);
      expect(result.value.events.map(({ isDeleted }) => isDeleted)).toEqual([false, true]);
    }));

  it('reports that the history is gone', () =>
    runWithStore(async (store, client) => {
      store.putObject('evacuations', 'a', {});
      store.dropHistory();
      const result = await client.watchObjects(StoreKind.Evacuations, 1, 500);
      expect(result.kind).toEqual(StoreFailure.HistoryGone);
    }));

  // Guards against revisions that are compared across a restoration.
  it('tells the era of each answer', () =>
    runWithStore(async (store, client) => {
      store.takeCopy();
      store.putObject('evacuations', 'a', {});
      const list = await client.listObjects(StoreKind.Evacuations, Consistency.Current);
      if (list.kind !== 'ok') throw new Error(list.problem);
      store.restoreCopy();
      const results = [
        list,
        await client.watchObjects(StoreKind.Evacuations, list.value.revision, 500),
        await client.fetchObject(StoreKind.Evacuations, 'a'),
        await client.createObject(StoreKind.Evacuations, 'a', {}),
      ];
      expect(results.map(({ kind, era }) => [kind, era])).toEqual([
        ['ok', 1],
        [StoreFailure.HistoryGone, 2],
        [StoreFailure.NotFound, 2],
        ['ok', 2],
      ]);
    }));

  it('accepts one of two concurrent conditional writes', () =>
    runWithStore(async (_store, client) => {
      const created = await client.createObject(StoreKind.Duties, 'groups', { holder: 'a' });
      if (created.kind !== 'ok') throw new Error(created.problem);
      const { revision } = created.value;
      const results = await Promise.all(
        ['b', 'c'].map((holder) =>
          client.replaceObject(StoreKind.Duties, 'groups', revision, { holder }),
        ),
      );
      const kinds = results.map(({ kind }) => String(kind)).sort();
      expect(kinds).toEqual(['conflict', 'ok']);
    }));

  // Guards against treating a write as not executed although it may have been, and the reverse.
  const faults = [
    { fault: StoreFault.Unavailable, kind: StoreFailure.NotDone, isWritten: false },
    { fault: StoreFault.TooMany, kind: StoreFailure.NotDone, isWritten: false },
    { fault: StoreFault.Silent, kind: StoreFailure.OutcomeUnknown, isWritten: false },
    { fault: StoreFault.ResponsesLost, kind: StoreFailure.OutcomeUnknown, isWritten: true },
  ];
  for (const { fault, kind, isWritten } of faults) {
    it(`reports ${kind} for a write while the store is ${fault}`, () =>
      runWithStore(async (store, client) => {
        store.setFault(fault);
        const result = await client.createObject(StoreKind.Duties, 'groups', {});
        expect(result.kind).toEqual(kind);
        const object = store.getObject('clementinefork-duties', 'groups');
        expect(object !== undefined).toEqual(isWritten);
      }));
  }

  // Guards against a call that hangs if no connection can be established (scale-2 of rodopi-wax).
  it('fails a call in time if no connection can be established', async () => {
    const client = createStoreClient({ host: '127.0.0.1', port: 1 }, createTimerService());
    const result = await client.fetchObject(StoreKind.Duties, 'groups');
    expect(result.kind).toEqual(StoreFailure.OutcomeUnknown);
    await client.close();
  });
});
