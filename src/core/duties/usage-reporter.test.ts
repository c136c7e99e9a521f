import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createSeededRandom } from '../membership/fixtures/seeded-random.ts';
import {
  CallFate,
  createReporterFleet,
  FIRST_WINDOW,
  LATE_MS,
  WINDOW_MS,
} from './fixtures/reporter-fleet.ts';
import { WindowResult } from './usage-reporter.ts';

const SETTLE_MS = 2_500;
const OBJECT = 'usage';

type Fleet = ReturnType<typeof createReporterFleet>;

/** Lets `a` hold the duties until the first window has been accepted. */
async function startFleet(names = ['a', 'b']): Promise<Fleet> {
  const fleet = createReporterFleet(names);
  fleet.setHolder('a', 1);
  await fleet.run(100);
  fleet.recordBegin('a');
  fleet.recordBegin('b');
  fleet.exchangeUsage();
  await fleet.run(WINDOW_MS + SETTLE_MS);
  expect(fleet.platform.accepted.get(FIRST_WINDOW)).toEqual('[["c",2]]');
  return fleet;
}

/** Returns fates for the next calls, after which all are done. */
function createFates(...fates: CallFate[]): () => CallFate {
  return () => fates.shift() ?? CallFate.Done;
}

describe('reports of usage', () => {
  it('come once for each window, in time, with the requests of all gateways', async () => {
    const fleet = await startFleet();
    await fleet.run(3 * WINDOW_MS);
    expect([...fleet.platform.accepted.keys()]).toEqual(
      [0, 1, 2, 3].map((index) => FIRST_WINDOW + index),
    );
    expect(fleet.platform.tokens).toHaveLength(4);
    expect(fleet.countResult('a', WindowResult.Reported)).toEqual(4);
    expect(fleet.countResult('a', WindowResult.Late)).toEqual(0);
  });

  const calls = [
    { name: 'answers of the platform are lost', fates: Array(3).fill(CallFate.AnswerLost) },
    { name: 'the platform takes no more calls', fates: Array(3).fill(CallFate.RateLimited) },
    { name: 'the platform is away', fates: Array(3).fill(CallFate.NotDone) },
  ];
  for (const { name, fates } of calls) {
    it(`are repeated with the same counts while ${name}`, async () => {
      const fleet = await startFleet();
      fleet.platform.setFate(createFates(...(fates as CallFate[])));
      fleet.recordBegin('a', 'd');
      await fleet.run(2 * WINDOW_MS);
      expect(fleet.platform.accepted.get(FIRST_WINDOW + 1)).toEqual('[["d",1]]');
      expect(fleet.platform.countConflicts()).toEqual(0);
    });
  }

  const storeCalls = [
    { name: 'its answers are lost', fate: CallFate.AnswerLost },
    { name: 'it is away', fate: CallFate.NotDone },
    { name: 'it takes no calls', fate: CallFate.RateLimited },
  ];
  for (const { name, fate } of storeCalls) {
    // Guards against counts that are sent before the store has them (rule ONE).
    it(`wait for the store while ${name}`, async () => {
      const fleet = await startFleet();
      fleet.setStoreFate(() => fate);
      await fleet.run(2 * WINDOW_MS);
      expect(fleet.platform.accepted.has(FIRST_WINDOW + 1)).toEqual(false);
      fleet.setStoreFate(() => CallFate.Done);
      await fleet.run(WINDOW_MS);
      expect([...fleet.platform.accepted.keys()]).toEqual(
        [0, 1, 2, 3].map((index) => FIRST_WINDOW + index),
      );
      expect(fleet.platform.countConflicts()).toEqual(0);
    });
  }

  it('come in order, late ones too, after the platform was away for long', async () => {
    const fleet = await startFleet();
    fleet.platform.setFate(() => CallFate.NotDone);
    await fleet.run(WINDOW_MS + LATE_MS + SETTLE_MS);
    fleet.platform.setFate(() => CallFate.Done);
    await fleet.run(1_000);
    const windows = [...fleet.platform.accepted.keys()];
    expect(windows).toEqual([0, 1, 2, 3].map((index) => FIRST_WINDOW + index));
    expect(fleet.countResult('a', WindowResult.Late)).toEqual(2);
  });
});

describe('reports of usage while the holder changes', () => {
  // Moments at which `a` dies; its own counts of the window were never heard by `b`.
  const moments: { name: string; die(fleet: Fleet, kill: () => void): void }[] = [
    { name: 'before it fixes', die: (fleet, kill) => fleet.onWrite(kill) },
    {
      name: 'between fixing and the answer of the store',
      die(fleet, kill) {
        fleet.onWrite(() => {
          fleet.setStoreFate(createFates(CallFate.AnswerLost));
          kill();
        });
      },
    },
    {
      name: 'between sending and the answer',
      die(fleet, kill) {
        fleet.platform.setFate(() => {
          kill();
          fleet.platform.setFate(() => CallFate.Done);
          return CallFate.AnswerLost;
        });
      },
    },
    {
      name: 'between fixing and sending',
      die(fleet, kill) {
        fleet.platform.setFate(() => {
          kill();
          fleet.platform.setFate(() => CallFate.Done);
          return CallFate.NotDone;
        });
      },
    },
  ];
  for (const { name, die } of moments) {
    // Guards against a window that is accepted with two counts (rule ONE).
    it(`have the same counts after the holder died ${name}`, async () => {
      const fleet = await startFleet();
      fleet.recordBegin('a', 'only-a-knows');
      die(fleet, () => fleet.setHolder(undefined));
      await fleet.run(WINDOW_MS);
      fleet.onWrite(() => undefined);
      fleet.setHolder('b', 2);
      await fleet.run(WINDOW_MS);
      expect(fleet.platform.accepted.has(FIRST_WINDOW + 1)).toEqual(true);
      expect(fleet.platform.countConflicts()).toEqual(0);
      expect(fleet.platform.tokens).toEqual([...fleet.platform.tokens].sort());
    });
  }

  it('go on with the first holder, which reads what the other has fixed', async () => {
    const fleet = await startFleet();
    fleet.recordBegin('a', 'only-a-knows');
    fleet.setHolder('b', 2);
    await fleet.run(WINDOW_MS);
    fleet.setHolder('a', 3);
    await fleet.run(2 * WINDOW_MS);
    expect(fleet.platform.accepted.get(FIRST_WINDOW + 1)).toEqual('[]');
    expect(fleet.platform.countConflicts()).toEqual(0);
  });

  it('name the windows that nobody knows after all gateways were killed', async () => {
    const fleet = await startFleet();
    fleet.setHolder(undefined);
    ['a', 'b'].forEach(fleet.removeProcess);
    await fleet.run(3 * WINDOW_MS);
    fleet.addProcess('c');
    await fleet.run(1_000);
    fleet.recordBegin('c', 'x');
    fleet.setHolder('c', 2);
    await fleet.run(2 * WINDOW_MS);
    expect(fleet.countResult('c', WindowResult.Lost)).toEqual(3);
    expect(fleet.platform.accepted.get(FIRST_WINDOW + 4)).toEqual('[["x",1]]');
  });
});

describe('reports of usage after the store came back from an older copy', () => {
  it('have the same counts if the holder is still there', async () => {
    const fleet = await startFleet();
    fleet.store.takeCopy();
    const lostBefore = fleet.countResult('a', WindowResult.Lost);
    fleet.recordBegin('a', 'd');
    await fleet.run(WINDOW_MS);
    expect(fleet.platform.accepted.get(FIRST_WINDOW + 1)).toEqual('[["d",1]]');
    fleet.store.restore();
    fleet.setHolder('a', 101);
    await fleet.run(2 * WINDOW_MS);
    expect(fleet.platform.countConflicts()).toEqual(0);
    expect(fleet.platform.accepted.has(FIRST_WINDOW + 2)).toEqual(true);
    expect(fleet.countResult('a', WindowResult.Lost)).toEqual(lostBefore);
  });

  // Guards against windows that the last holder has reported with counts that are gone (rule ONE).
  it('leave out what another holder may have reported', async () => {
    const fleet = await startFleet();
    fleet.store.takeCopy();
    fleet.recordBegin('a', 'only-a-knows');
    await fleet.run(WINDOW_MS);
    fleet.store.restore();
    fleet.setHolder('b', 101);
    await fleet.run(2 * WINDOW_MS);
    expect(fleet.platform.countConflicts()).toEqual(0);
    expect(fleet.countResult('b', WindowResult.Lost)).toEqual(1);
    expect(fleet.platform.accepted.has(FIRST_WINDOW + 2)).toEqual(true);
  });

  it('leave out the same if the record itself is lost', async () => {
    const fleet = createReporterFleet(['a', 'b']);
    fleet.store.takeCopy();
    fleet.setHolder('a', 1);
    await fleet.run(WINDOW_MS + SETTLE_MS);
    expect(fleet.platform.accepted.size).toEqual(1);
    fleet.store.restore();
    fleet.recordBegin('b', 'late');
    fleet.setHolder('b', 101);
    await fleet.run(2 * WINDOW_MS);
    expect(fleet.platform.countConflicts()).toEqual(0);
    expect(fleet.platform.accepted.has(FIRST_WINDOW + 1)).toEqual(true);
  });

  it('go on if something else stands in the record', async () => {
    const fleet = await startFleet();
    expect(fleet.store.findObject(OBJECT) === undefined).toEqual(false);
    fleet.store.put(OBJECT, { lastWindow: 'x' });
    await fleet.run(3 * WINDOW_MS);
    expect(fleet.platform.countConflicts()).toEqual(0);
    expect(fleet.platform.accepted.has(FIRST_WINDOW + 3)).toEqual(true);
  });
});

describe('reports of usage in random order of faults', () => {
  const FATES = Object.values(CallFate);
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    // Guards against a window that is accepted with two counts (rule ONE).
    it(`are accepted with one count each, seed ${seed}`, async () => {
      const random = createSeededRandom(seed);
      const pick = <Value>(values: readonly Value[]): Value =>
        values[Math.floor(random() * values.length)]!;
      const names = ['a', 'b', 'c'];
      const fleet = createReporterFleet(names);
      const pickFate = (): CallFate => (random() < 0.7 ? CallFate.Done : pick(FATES));
      fleet.setStoreFate(pickFate);
      fleet.platform.setFate(pickFate);
      let token = 0;
      for (let round = 0; round < 120; round++) {
        fleet.recordBegin(pick(names), pick(['x', 'y']));
        if (random() < 0.3) fleet.exchangeUsage();
        if (random() < 0.2) fleet.setHolder(pick([...names, undefined]), ++token);
        if (random() < 0.05) fleet.store.takeCopy();
        if (random() < 0.05) {
          fleet.store.restore();
          fleet.setHolder(pick(names), ++token);
        }
        await fleet.run(Math.floor(random() * 1_000) + 10);
      }
      fleet.setStoreFate(() => CallFate.Done);
      fleet.platform.setFate(() => CallFate.Done);
      fleet.setHolder('a', ++token);
      await fleet.run(3 * WINDOW_MS);
      expect(fleet.platform.countConflicts()).toEqual(0);
      expect(fleet.platform.accepted.size).toBeGreaterThan(5);
    });
  }
});
