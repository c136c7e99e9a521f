import { isDeepStrictEqual } from 'node:util';
import type { DeclarationRow } from './rows.ts';
import { listRows } from './rows.ts';
import type { Declaration } from './types.ts';

/** How a row differs between two declarations. */
export enum RowChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** A field whose value differs between two versions of a row. */
export interface FieldChange {
  name: string;
  before: unknown;
  after: unknown;
}

/** A row that differs between two declarations. */
export interface RowChange {
  kind: RowChangeKind;
  /** Path of the row, such as `limits/orchard`. */
  path: string;
  before?: DeclarationRow;
  after?: DeclarationRow;
  /** Fields that differ; empty for added and removed rows. */
  fields: FieldChange[];
}

function diffFields(before: DeclarationRow, after: DeclarationRow): FieldChange[] {
  const left = new Map<string, unknown>(Object.entries(before));
  const right = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...left.keys(), ...right.keys()])]
    .filter((name) => !isDeepStrictEqual(left.get(name), right.get(name)))
    .map((name) => ({ name, before: left.get(name), after: right.get(name) }));
}

function diffRow(
  path: string,
  before: DeclarationRow | undefined,
  after: DeclarationRow | undefined,
): RowChange | undefined {
  if (before === undefined && after === undefined) return undefined;
  if (before === undefined) return { kind: RowChangeKind.Added, path, after: after!, fields: [] };
  if (after === undefined) return { kind: RowChangeKind.Removed, path, before, fields: [] };
  const fields = diffFields(before, after);
  if (fields.length === 0) return undefined;
  return { kind: RowChangeKind.Changed, path, before, after, fields };
}

/** Lists the rows that differ; the order of rows within a section is ignored. */
export function diffDeclarations(before: Declaration, after: Declaration): RowChange[] {
  const left = new Map(listRows(before).map(({ path, row }) => [path, row]));
  const right = new Map(listRows(after).map(({ path, row }) => [path, row]));
  return [...new Set([...left.keys(), ...right.keys()])]
    .map((path) => diffRow(path, left.get(path), right.get(path)))
    .filter((change) => change !== undefined);
}
