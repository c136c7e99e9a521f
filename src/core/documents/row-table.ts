import { DocumentKind } from '../rpc/index.ts';
import type { JsonObject } from './canonical-json.ts';
import { encodeCanonicalJson, isJsonObject } from './canonical-json.ts';

/** How a top-level field of a document is split into rows. */
export enum SectionShape {
  /** The entire value is one row. */
  Value = 'value',
  /** A list of objects; the fields in `ROW_KEYS` form the key of each row. */
  List = 'list',
  /** An object with one row for each key. */
  Record = 'record',
}

/** A top-level field of a document, split into rows of canonical JSON. */
export interface Section {
  readonly shape: SectionShape;
  /** Canonical JSON of each row by key, in list order, or sorted by key for a record. */
  readonly rows: ReadonlyMap<string, string>;
}

/** A document split into rows; deltas between versions consist of changed rows. */
export interface RowTable {
  readonly kind: DocumentKind;
  readonly sections: ReadonlyMap<string, Section>;
}

/** Key of the only row of a section of shape `Value`. */
export const VALUE_KEY = '';

/** Fields that form the key of a row, by document kind and list. */
const ROW_KEYS: Readonly<Record<DocumentKind, Readonly<Record<string, readonly string[]>>>> = {
  [DocumentKind.UNSPECIFIED]: {},
  [DocumentKind.CONFIG]: {
    servingGroups: ['name'],
    services: ['name'],
    routes: ['customer', 'name'],
    weights: ['customer', 'route', 'servingGroup'],
    limits: ['customer'],
    availabilityZones: ['name'],
    changes: ['writeId'],
  },
  [DocumentKind.ALLOCATION]: { groups: ['name'] },
};

/** Top-level fields of shape `Record`. */
const RECORD_SECTIONS: readonly string[] = ['vms'];

const KEY_SEPARATOR = '/';

/** Returns the key of each row, or undefined if a row has no key or two rows have the same. */
function listRowKeys(rows: readonly unknown[], fields: readonly string[]): string[] | undefined {
  const keys = rows.map((row) => {
    const parts = fields.map((field) => (isJsonObject(row) ? row[field] : undefined));
    return parts.every((part) => typeof part === 'string') ? parts.join(KEY_SEPARATOR) : undefined;
  });
  const found = keys.filter((key) => key !== undefined);
  return found.length === rows.length && new Set(found).size === rows.length ? found : undefined;
}

/** Splits a top-level field into rows; a list without unique keys becomes one value. */
export function buildSection(kind: DocumentKind, name: string, value: unknown): Section {
  const fields = ROW_KEYS[kind][name];
  if (fields !== undefined && Array.isArray(value)) {
    const keys = listRowKeys(value, fields);
    if (keys !== undefined) {
      const rows = new Map(keys.map((key, index) => [key, encodeCanonicalJson(value[index])]));
      return { shape: SectionShape.List, rows };
    }
  }
  if (RECORD_SECTIONS.includes(name) && isJsonObject(value)) {
    const keys = Object.keys(value).sort();
    const rows = new Map(keys.map((key) => [key, encodeCanonicalJson(value[key])]));
    return { shape: SectionShape.Record, rows };
  }
  return { shape: SectionShape.Value, rows: new Map([[VALUE_KEY, encodeCanonicalJson(value)]]) };
}

/** Splits a document value into rows. */
export function buildRowTable(kind: DocumentKind, value: JsonObject): RowTable {
  const names = Object.keys(value).filter((name) => value[name] !== undefined);
  const sections = names.map((name) => [name, buildSection(kind, name, value[name])] as const);
  return { kind, sections: new Map(sections) };
}

/** Encodes a section as canonical JSON. */
export function encodeSection({ shape, rows }: Section): string {
  if (shape === SectionShape.List) return `[${[...rows.values()].join(',')}]`;
  if (shape === SectionShape.Value) return rows.get(VALUE_KEY) ?? 'null';
  const keys = [...rows.keys()].sort();
  return `{${keys.map((key) => `${JSON.stringify(key)}:${rows.get(key) ?? 'null'}`).join(',')}}`;
}

/** Encodes all rows as the canonical JSON of the full value. */
export function encodeRowTable({ sections }: RowTable): string {
  const fields = [...sections.keys()].sort().map((name) => {
    const section = sections.get(name);
    return `${JSON.stringify(name)}:${section === undefined ? 'null' : encodeSection(section)}`;
  });
  return `{${fields.join(',')}}`;
}

/** Replaces row texts by equal strings of an earlier version, so that versions share memory. */
export function reuseEqualRows(table: RowTable, earlier: RowTable): RowTable {
  const sections = [...table.sections].map(([name, section]) => {
    const known = earlier.sections.get(name)?.rows;
    const rows = [...section.rows].map(([key, text]) => {
      const earlierText = known?.get(key);
      return [key, earlierText === text ? earlierText : text] as const;
    });
    return [name, { shape: section.shape, rows: new Map(rows) }] as const;
  });
  return { kind: table.kind, sections: new Map(sections) };
}
