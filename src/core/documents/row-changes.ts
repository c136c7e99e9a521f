import { create } from '@bufbuild/protobuf';
import type { DocumentRow } from '../rpc/index.ts';
import { DocumentRowSchema } from '../rpc/index.ts';
import type { RowTable, Section } from './row-table.ts';
import { buildSection, encodeSection, SectionShape } from './row-table.ts';

/** Path suffix of the row that holds the order of the keys of a list. */
const ORDER_SUFFIX = '#order';

const encoder = new TextEncoder();
const decoder = new TextDecoder('utf-8', { fatal: true });

function buildRow(path: string, text: string): DocumentRow {
  return create(DocumentRowSchema, { path, body: encoder.encode(text) });
}

function buildDeletion(path: string): DocumentRow {
  return create(DocumentRowSchema, { path, deleted: true });
}

/**
 * Returns the keys of a list in the order that results from deleting rows and appending new ones.
 */
function listAppendedKeys(base: Section, next: Section): string[] {
  const kept = [...base.rows.keys()].filter((key) => next.rows.has(key));
  const added = [...next.rows.keys()].filter((key) => !base.rows.has(key));
  return [...kept, ...added];
}

function diffSection(name: string, base: Section | undefined, next: Section): DocumentRow[] {
  if (base?.shape !== next.shape || next.shape === SectionShape.Value) {
    const text = encodeSection(next);
    const isSame = base !== undefined && base.shape === next.shape && encodeSection(base) === text;
    return isSame ? [] : [buildRow(name, text)];
  }
  const changed = [...next.rows]
    .filter(([key, text]) => base.rows.get(key) !== text)
    .map(([key, text]) => buildRow(`${name}/${key}`, text));
  const deleted = [...base.rows.keys()]
    .filter((key) => !next.rows.has(key))
    .map((key) => buildDeletion(`${name}/${key}`));
  const nextKeys = JSON.stringify([...next.rows.keys()]);
  const isInOrder =
    next.shape === SectionShape.Record || JSON.stringify(listAppendedKeys(base, next)) === nextKeys;
  const order = isInOrder ? [] : [buildRow(`${name}${ORDER_SUFFIX}`, nextKeys)];
  return [...deleted, ...changed, ...order];
}

/** Lists the row changes that turn one version into another. */
export function diffRowTables(base: RowTable, next: RowTable): DocumentRow[] {
  const removed = [...base.sections.keys()]
    .filter((name) => !next.sections.has(name))
    .map(buildDeletion);
  const changed = [...next.sections].flatMap(([name, section]) =>
    diffSection(name, base.sections.get(name), section),
  );
  return [...removed, ...changed];
}

function parseKeys(text: string): string[] {
  const value: unknown = JSON.parse(text);
  if (!Array.isArray(value))
    throw new TypeError('the order of the rows of a list must be an array of keys');
  return value.map(String);
}

function orderRows(section: Section, keys: readonly string[]): Section {
  const rows = new Map(keys.map((key) => [key, section.rows.get(key) ?? 'null']));
  return { shape: section.shape, rows };
}

function updateRow(section: Section | undefined, key: string, row: DocumentRow): Section {
  const rows = new Map(section?.rows);
  if (row.deleted) rows.delete(key);
  else rows.set(key, decoder.decode(row.body));
  return { shape: section?.shape ?? SectionShape.List, rows };
}

function updateSection(table: RowTable, name: string, row: DocumentRow): Section | undefined {
  if (row.deleted) return undefined;
  const value: unknown = JSON.parse(decoder.decode(row.body));
  return buildSection(table.kind, name, value);
}

/** Applies row changes to a version; throws when a row is invalid. */
export function applyRowChanges(base: RowTable, changes: readonly DocumentRow[]): RowTable {
  const sections = new Map(base.sections);
  const setSection = (name: string, section: Section | undefined): void => {
    if (section === undefined) sections.delete(name);
    else sections.set(name, section);
  };
  for (const row of changes) {
    const separator = row.path.indexOf('/');
    const name = separator < 0 ? row.path : row.path.slice(0, separator);
    if (separator >= 0) {
      const key = row.path.slice(separator + 1);
      setSection(name, updateRow(sections.get(name), key, row));
    } else if (name.endsWith(ORDER_SUFFIX)) {
      const listName = name.slice(0, -ORDER_SUFFIX.length);
      const list = sections.get(listName);
      if (list !== undefined) {
        setSection(listName, orderRows(list, parseKeys(decoder.decode(row.body))));
      }
    } else {
      setSection(name, updateSection(base, name, row));
    }
  }
  return { kind: base.kind, sections };
}
