import { describe, it } from 'node:test';
import { expect } from 'earl';
import { z } from 'zod';
import { createLogger } from '../logs/index.ts';
import { createRestorableStore } from '../store/fixtures/restorable-store.ts';
import { createEraTracker, createInstrumentedStore } from '../store/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createLeaderElection } from './create-leader-election.ts';

const STEP_MS = 5;
const LEASE_MS = 2_500;

/** Gateways that compete for one lease and hear nothing of each other but through the store. */
function startElections(vmNames: readonly string[]) {
  const timers = createManualTimers();
  const store = createRestorableStore(timers);
  const logger = createLogger('test');
  /** Gateways that take part, by name; each may be cut off from the store for itself. */
  const gateways = new Map(
    vmNames.map((vmName) => {
      const eras = createEraTracker(logger);
      const own = { isCutOff: false, isCandidate: true };
      const cutOff = { kind: 'unknown', problem: 'no response in time' };
      const reach = <Call extends (...args: never[]) => Promise<unknown>>(call: Call): Call =>
        (async (...args: never[]) => {
          if (!own.isCutOff) return call(...args);
          await timers.waitFor(300);
          return cutOff;
        }) as Call;
      const { client } = store;
      const election = createLeaderElection({
        name: 'groups',
        vmName,
        incarnation: 1,
        store: createInstrumentedStore(
          {
            ...client,
            fetchObject: reach(client.fetchObject),
            createObject: reach(client.createObject),
            replaceObject: reach(client.replaceObject),
          },
          () => undefined,
          eras.observe,
        ),
        eras,
        timers,
        logger,
        isOtherLeaderKnown: () => false,
        isCandidate: () => own.isCandidate,
        handoverStateSchema: z.unknown(),
      });
      return [vmName, { election, own }] as const;
    }),
  );
  /** All terms that were held, with their holders. */
  const holders = new Map<number, Set<string>>();
  let mostLeaders = 0;
  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      await timers.runForAsync(STEP_MS, STEP_MS);
      const leaders = [...gateways].filter(([, { election }]) => election.getTerm() > 0);
      mostLeaders = Math.max(mostLeaders, leaders.length);
      for (const [vmName, { election }] of leaders) {
        const term = election.getTerm();
        holders.set(term, (holders.get(term) ?? new Set()).add(vmName));
      }
    }
  };
  const start = (vmName: string): void =>
    gateways.get(vmName)?.election.start({
      getHandoverState: () => ({}),
      handleElected: () => undefined,
      handleLost: () => undefined,
    });
  const getTerm = (vmName: string): number => gateways.get(vmName)?.election.getTerm() ?? 0;
  const stop = (): void => gateways.forEach(({ election }) => election.stop());
  const setCutOff = (vmName: string, isCutOff: boolean): void => {
    gateways.get(vmName)!.own.isCutOff = isCutOff;
  };
  return {
    store,
    run,
    start,
    stop,
    getTerm,
    setCutOff,
    countMostLeaders: () => mostLeaders,
    listHolders: () => [...holders.values()].map((names) => [...names]),
  };
}

/** Lets `b` take over from `a` after the copy, so that the restored lease names `a`. */
async function startTakeover() {
  const elections = startElections(['a', 'b']);
  elections.start('a');
  await elections.run(1_000);
  elections.store.takeCopy();
  elections.setCutOff('a', true);
  elections.start('b');
  await elections.run(2 * LEASE_MS);
  expect([elections.getTerm('a'), elections.getTerm('b') > 0]).toEqual([0, true]);
  return elections;
}

describe('leader election after the store has lost its latest changes', () => {
  const cases = [
    { name: 'the old leader is back', isOldLeaderBack: true },
    { name: 'the old leader is away', isOldLeaderBack: false },
  ];
  for (const { name, isOldLeaderBack } of cases) {
    // Guards against epochs and names of groups that two leaders use.
    it(`gives no term out twice while ${name}`, async () => {
      const { store, run, stop, setCutOff, listHolders, getTerm } = await startTakeover();
      setCutOff('a', !isOldLeaderBack);
      store.restore();
      await run(4 * LEASE_MS);
      expect(listHolders().filter((holders) => holders.length > 1)).toEqual([]);
      expect(getTerm('a') + getTerm('b') > 0).toEqual(true);
      stop();
    });

    // Guards against two gateways that order engines at the same time (rule TWO).
    it(`has one leader at a time while ${name}`, async () => {
      const { store, run, stop, setCutOff, countMostLeaders } = await startTakeover();
      setCutOff('a', !isOldLeaderBack);
      // The leader itself does not learn of the restoration for now.
      setCutOff('b', true);
      store.restore();
      await run(LEASE_MS / 2);
      setCutOff('b', false);
      await run(4 * LEASE_MS);
      expect(countMostLeaders()).toEqual(1);
      stop();
    });
  }

  it('lets the leader of the moment go on at once', async () => {
    const { store, run, stop, setCutOff, getTerm } = await startTakeover();
    const before = getTerm('b');
    setCutOff('a', false);
    store.restore();
    await run(1_600);
    expect(getTerm('b')).toBeGreaterThan(before);
    expect(getTerm('a')).toEqual(0);
    stop();
  });

  it('goes on when the lease itself was lost', async () => {
    const elections = startElections(['a']);
    elections.store.takeCopy();
    elections.start('a');
    await elections.run(1_000);
    const before = elections.getTerm('a');
    elections.store.restore();
    await elections.run(2 * LEASE_MS);
    expect(elections.getTerm('a')).toBeGreaterThan(before);
    elections.stop();
  });
});
