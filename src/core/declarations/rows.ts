import type { Declaration } from './types.ts';

/** Sections of a declaration, in the order in which changes are listed. */
export const SECTIONS = [
  'servingGroups',
  'services',
  'routes',
  'weights',
  'limits',
  'availabilityZones',
] as const satisfies readonly (keyof Declaration)[];

/** Name of a section of a declaration. */
export type SectionName = (typeof SECTIONS)[number];

/** A row of any section. */
export type DeclarationRow = Declaration[SectionName][number];

/** A row with its path, such as `limits/orchard`, and its index in the section. */
export interface RowWithPath {
  path: string;
  section: SectionName;
  index: number;
  row: DeclarationRow;
}

/** Functions that build the key of a row, which follows the section name in its path. */
const KEY_BUILDERS: {
  [Name in SectionName]: (row: Declaration[Name][number]) => string;
} = {
  servingGroups: (row) => row.name,
  services: (row) => row.name,
  routes: (row) => `${row.customer}/${row.name}`,
  weights: (row) => `${row.customer}/${row.route}/${row.servingGroup}`,
  limits: (row) => row.customer,
  availabilityZones: (row) => row.name,
};

function listSectionRows<Name extends SectionName>(
  declaration: Declaration,
  section: Name,
): RowWithPath[] {
  const rows: readonly Declaration[Name][number][] = declaration[section];
  return rows.map((row, index) => {
    const path = `${section}/${KEY_BUILDERS[section](row)}`;
    return { path, section, index, row };
  });
}

/** Lists all rows of a declaration with their paths. */
export function listRows(declaration: Declaration): RowWithPath[] {
  return SECTIONS.flatMap((section) => listSectionRows(declaration, section));
}
