import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind, isServingError } from '../errors/index.ts';
import type { PlatformFixture } from './fixtures/platform.ts';
import { createPlatformFixture, EXAMPLE, TIMERS } from './fixtures/platform.ts';
import type { ApplyResult, Declaration, DeclarationChange } from './index.ts';
import {
  ApplyOutcome,
  applyDeclaration,
  CONFIG_KIND,
  CONFIG_NAME,
  fetchConfiguration,
  MAX_CHANGE_RECORDS,
} from './index.ts';

function setLimit(declaration: Declaration, requestsPerSecond: number): Declaration {
  const limits = declaration.limits.map((row) => ({ ...row, requestsPerSecond }));
  return { ...declaration, limits };
}

function setWeight(declaration: Declaration, weight: number): Declaration {
  const weights = declaration.weights.map((row) => ({ ...row, weight }));
  return { ...declaration, weights };
}

const NEW_LIMITS = setLimit(EXAMPLE, 111);
const NEW_WEIGHTS = setWeight(EXAMPLE, 55);

describe('applyDeclaration', () => {
  let fixture: PlatformFixture;
  let writes = 0;

  beforeEach(async () => {
    fixture = await createPlatformFixture();
  });
  afterEach(() => fixture.close());

  function applyChange(change: Partial<DeclarationChange>): Promise<ApplyResult> {
    writes += 1;
    return applyDeclaration(fixture.client, TIMERS, {
      operator: 'ana',
      note: '',
      writeId: `write-${writes}`,
      declaration: NEW_LIMITS,
      baseVersion: 1,
      ...change,
    });
  }

  async function listWriteIds(): Promise<string[]> {
    const { configuration } = await fetchConfiguration(fixture.client);
    return configuration.changes.map(({ writeId }) => writeId);
  }

  interface Case {
    title: string;
    prepare: () => unknown;
    change?: Partial<DeclarationChange>;
    expected: ApplyOutcome | ErrorKind;
    /** Number of change records with the write id of the change afterwards. */
    records: number;
  }

  // Guards against a change that is reported as refused but took effect, or that is applied twice.
  const cases: Case[] = [
    {
      title: 'applies a declaration',
      prepare: () => undefined,
      expected: ApplyOutcome.Applied,
      records: 1,
    },
    {
      title: 'writes nothing when the current configuration matches the declaration',
      prepare: () => undefined,
      change: { declaration: EXAMPLE },
      expected: ApplyOutcome.Unchanged,
      records: 0,
    },
    {
      title: 'refuses a change whose base version was replaced',
      prepare: () => applyChange({ declaration: NEW_WEIGHTS }),
      expected: ApplyOutcome.Conflict,
      records: 0,
    },
    {
      title: 'writes nothing when another operator already changed the same rows in the same way',
      prepare: () => applyChange({ declaration: NEW_LIMITS }),
      expected: ApplyOutcome.Unchanged,
      records: 0,
    },
    {
      title: 'settles a write whose response was lost',
      prepare: () => Object.assign(fixture.standIn.faults, { loseWriteAnswers: 1 }),
      expected: ApplyOutcome.Applied,
      records: 1,
    },
    {
      title: 'settles a write that takes effect late',
      prepare: () => Object.assign(fixture.standIn.faults, { lateWrites: 1, lateWriteMs: 30 }),
      expected: ApplyOutcome.Applied,
      records: 1,
    },
    {
      title: 'finds the change of an earlier run behind a later change',
      prepare: async () => {
        await applyChange({ writeId: 'ours' });
        await applyChange({ declaration: NEW_WEIGHTS, baseVersion: 2 });
      },
      expected: ApplyOutcome.Applied,
      records: 1,
    },
    {
      title: 'fails as unavailable during an outage',
      prepare: () => Object.assign(fixture.standIn.faults, { down: true }),
      expected: ErrorKind.PlatformUnavailable,
      records: 0,
    },
    {
      title: 'fails as undecided when every write takes effect after the deadline',
      prepare: () => Object.assign(fixture.standIn.faults, { lateWrites: 99, lateWriteMs: 60_000 }),
      expected: ErrorKind.WriteUndecided,
      records: 0,
    },
  ];

  async function getResult(run: () => Promise<ApplyResult>): Promise<unknown> {
    try {
      return (await run()).outcome;
    } catch (error) {
      return isServingError(error) ? error.kind : error;
    }
  }

  async function checkCase(testCase: Case): Promise<void> {
    await testCase.prepare();
    const result = await getResult(() => applyChange({ writeId: 'ours', ...testCase.change }));
    expect(result).toEqual(testCase.expected);
    fixture.standIn.faults.down = false;
    const records = (await listWriteIds()).filter((writeId) => writeId === 'ours');
    expect(records).toHaveLength(testCase.records);
  }

  for (const testCase of cases) it(testCase.title, () => checkCase(testCase));

  // Guards against silently reverting a change that another operator applied shortly before.
  it('reports the other change and the differing rows when the base version was replaced', async () => {
    await applyChange({ declaration: NEW_LIMITS, operator: 'ana', note: 'peak of the season' });
    const result = await applyChange({ declaration: NEW_WEIGHTS, operator: 'boris' });
    if (result.outcome !== ApplyOutcome.Conflict) throw new Error(`got ${result.outcome}`);
    const { conflict } = result;
    const [other] = conflict.otherChanges;
    expect(other).toEqual(
      expect.subset({ operator: 'ana', note: 'peak of the season', baseVersion: 1, version: 2 }),
    );
    expect(conflict.isHistoryComplete).toEqual(true);
    const rows = conflict.rows.map((row) => [row.change.path, row.otherChanges.length]);
    expect(rows).toEqual([
      ['weights/orchard/assistant/assistant-large', 0],
      ['weights/orchard/assistant/assistant-small', 0],
      ['limits/orchard', 1],
      ['limits/nursery', 1],
    ]);
  });

  // Guards against concurrent operators who are all told that their change was applied.
  it('applies exactly one of many concurrent changes, even when responses are lost', async () => {
    for (let round = 0; round < 10; round++) {
      const { version } = await fetchConfiguration(fixture.client);
      fixture.standIn.faults.loseWriteAnswers = round % 3;
      const runs = Array.from({ length: 6 }, (_, operator) =>
        applyChange({
          declaration: setLimit(EXAMPLE, 1_000 + round * 10 + operator),
          baseVersion: version,
          operator: `operator-${operator}`,
          writeId: `round-${round}-${operator}`,
        }),
      );
      const outcomes = (await Promise.all(runs)).map(({ outcome }) => outcome);
      const winner = outcomes.indexOf(ApplyOutcome.Applied);
      expect(outcomes.filter((outcome) => outcome === ApplyOutcome.Applied)).toHaveLength(1);
      expect((await listWriteIds()).at(-1)).toEqual(`round-${round}-${winner}`);
    }
  });

  // Guards against a next change that is based on the wrong version and silently reverts another.
  it('returns the version that the change of an earlier run created', async () => {
    await applyChange({ writeId: 'ours' });
    await applyChange({ declaration: NEW_WEIGHTS, baseVersion: 2 });
    const result = await applyChange({ writeId: 'ours' });
    expect(result).toEqual({
      outcome: ApplyOutcome.Applied,
      version: 3,
      appliedVersion: 2,
      changes: [],
    });
  });

  it('keeps the records of the newest changes', async () => {
    for (let index = 0; index < MAX_CHANGE_RECORDS + 2; index++) {
      await applyChange({ declaration: setLimit(EXAMPLE, index + 1), baseVersion: index + 1 });
    }
    expect(await listWriteIds()).toHaveLength(MAX_CHANGE_RECORDS);
  });

  it('stores the configuration as config/current', () => {
    expect(fixture.standIn.store.getObject(CONFIG_KIND, CONFIG_NAME)?.version).toEqual(1);
  });
});
