import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ChangeRecord } from './index.ts';
import {
  buildConfiguration,
  configurationSchema,
  hasChangedRow,
  listChanges,
  listRecordedRows,
  MAX_CHANGE_RECORD_BYTES,
  MAX_CHANGE_RECORDS,
  RowChangeKind,
} from './index.ts';

const EMPTY = configurationSchema.parse({});

function createRecord(baseVersion: number, note = ''): ChangeRecord {
  return {
    writeId: `w-${baseVersion}`,
    baseVersion,
    operator: 'ana',
    wallMs: 0,
    note,
    changedRows: [],
  };
}

describe('buildConfiguration', () => {
  interface Case {
    title: string;
    records: ChangeRecord[];
    added: ChangeRecord;
    expected: (kept: readonly ChangeRecord[]) => boolean;
  }

  const many = Array.from({ length: MAX_CHANGE_RECORDS }, (_, index) => createRecord(index));
  const long = 'x'.repeat(MAX_CHANGE_RECORD_BYTES);

  // Guards against change records that grow until the object is too large to be written.
  const cases: Case[] = [
    {
      title: 'keeps the newest records up to the maximum number',
      records: many,
      added: createRecord(MAX_CHANGE_RECORDS),
      expected: (kept) =>
        kept.length === MAX_CHANGE_RECORDS &&
        kept[0]?.baseVersion === 1 &&
        kept.at(-1)?.baseVersion === MAX_CHANGE_RECORDS,
    },
    {
      title: 'keeps the newest records up to the maximum size',
      records: [createRecord(0), createRecord(1, long)],
      added: createRecord(2),
      expected: (kept) => kept.length === 1 && kept[0]?.baseVersion === 2,
    },
    {
      title: 'keeps the newest record even if it exceeds the maximum size',
      records: [createRecord(0)],
      added: createRecord(1, long),
      expected: (kept) => kept.length === 1 && kept[0]?.baseVersion === 1,
    },
  ];

  for (const { title, records, added, expected } of cases) {
    it(title, () => {
      const { changes } = buildConfiguration(EMPTY, { ...EMPTY, changes: records }, added);
      expect(expected(changes)).toEqual(true);
    });
  }
});

describe('listChanges', () => {
  // Guards against a history that shows the wrong version for a change.
  it('takes the version of each change from the base version of the next one', () => {
    const configuration = { ...EMPTY, changes: [createRecord(0), createRecord(4)] };
    const versions = listChanges({ version: 9, configuration }).map(({ version }) => version);
    expect(versions).toEqual([4, 9]);
  });
});

describe('listRecordedRows', () => {
  it('lists the section instead of the rows of a large change', () => {
    const changes = Array.from({ length: 600 }, (_, index) => ({
      kind: RowChangeKind.Removed,
      path: `limits/customer-${index}`,
      fields: [],
    }));
    const changedRows = listRecordedRows(changes);
    expect(changedRows).toEqual(['limits/*']);
    expect(hasChangedRow({ ...createRecord(0), changedRows }, 'limits/customer-5')).toEqual(true);
  });
});
