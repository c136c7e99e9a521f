import type {
  ApplyConflict,
  ConflictRow,
  FieldChange,
  RowChange,
  VersionedChange,
} from '../declarations/index.ts';
import { RowChangeKind } from '../declarations/index.ts';

const SYMBOLS: Readonly<Record<RowChangeKind, string>> = {
  [RowChangeKind.Added]: '+',
  [RowChangeKind.Removed]: '-',
  [RowChangeKind.Changed]: '~',
};

/** Formats wall-clock time in UTC with a resolution of one second. */
export function formatTime(wallMs: number): string {
  return `${new Date(wallMs).toISOString().slice(0, 19).replace('T', ' ')} UTC`;
}

function formatValue(value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value);
}

function formatRow({ kind, path, before, after, fields }: RowChange): string[] {
  const head = `${SYMBOLS[kind]} ${path}`;
  if (kind === RowChangeKind.Changed) {
    return [head, ...fields.map((field) => `    ${formatField(field)}`)];
  }
  return [`${head} ${formatValue(after ?? before)}`];
}

function formatField({ name, before, after }: FieldChange): string {
  return `${name}: ${formatValue(before)} -> ${formatValue(after)}`;
}

/** Formats the rows that differ, with one or more lines for each row. */
export function formatRowChanges(changes: readonly RowChange[]): string[] {
  return changes.flatMap(formatRow);
}

/** Formats the number of rows that differ. */
export function formatRowCount(count: number): string {
  return count === 1 ? '1 row differs' : `${count} rows differ`;
}

/** Formats a change record as one line, followed by one line for each changed row. */
export function formatChangeRecord(change: VersionedChange): string[] {
  const note = change.note === '' ? '' : `  "${change.note}"`;
  return [
    `version ${change.version}  ${formatTime(change.wallMs)}  ${change.operator}${note}`,
    ...change.changedRows.map((path) => `    ${path}`),
  ];
}

function formatConflictRow({ change, otherChanges }: ConflictRow): string[] {
  const names = otherChanges.map(({ operator, version }) => `${operator} in version ${version}`);
  const authors = names.length === 0 ? '' : ` (changed by ${names.join(', ')})`;
  const head = `${change.path}${authors}`;
  if (change.kind !== RowChangeKind.Changed) {
    return [
      head,
      `    in force: ${formatValue(change.before)}`,
      `    yours:    ${formatValue(change.after)}`,
    ];
  }
  return [
    head,
    ...change.fields.map(
      ({ name, before, after }) =>
        `    ${name}: in force ${formatValue(before)}, yours ${formatValue(after)}`,
    ),
  ];
}

/** Formats a conflict: the changes since the base version, and both versions of each row. */
export function formatConflict(conflict: ApplyConflict): string[] {
  const { baseVersion, version, otherChanges, isHistoryComplete, rows } = conflict;
  const indent = (line: string): string => `  ${line}`;
  return [
    `Changes since version ${baseVersion}:`,
    ...otherChanges.flatMap(formatChangeRecord).map(indent),
    ...(isHistoryComplete ? [] : ['  (older changes are no longer in the history)']),
    `Rows that differ between version ${version} and your change:`,
    ...rows.flatMap(formatConflictRow).map(indent),
  ];
}
