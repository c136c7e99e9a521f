import type { Document } from 'yaml';
import { isMap, isNode, isScalar, LineCounter, parseDocument } from 'yaml';
import { z } from 'zod';
import { createError, ErrorKind } from '../errors/index.ts';
import { formatPath, parseYaml } from '../settings/index.ts';
import { formatSuggestion } from '../suggestions/index.ts';
import { MAX_DECLARATION_BYTES } from './consts.ts';
import type { DeclarationProblem } from './references.ts';
import { listReferenceProblems } from './references.ts';
import { declarationSchema } from './schema.ts';
import type { Declaration } from './types.ts';

/** Schema of a declaration file of the operators. */
const declarationFileSchema = declarationSchema.extend({
  /** Configuration version that the file is based on; `clementinefork get` writes it. */
  baseVersion: z.number().int().min(0).optional(),
});

/** A declaration and the configuration version that its file is based on. */
export interface DeclarationFile {
  declaration: Declaration;
  baseVersion: number | undefined;
}

type SchemaShape = Readonly<Record<string, unknown>>;

function listKeys(schema: unknown): string[] {
  if (schema instanceof z.ZodObject) return Object.keys(schema.shape);
  return [];
}

/** Returns the schema at a path, or undefined if the path leaves the schema. */
function findSchemaAt(path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((schema, key) => {
    if (schema instanceof z.ZodDefault) return findChildSchema(schema.def.innerType, key);
    return findChildSchema(schema, key);
  }, declarationFileSchema);
}

function findChildSchema(schema: unknown, key: PropertyKey): unknown {
  if (schema instanceof z.ZodObject) return (schema.shape as SchemaShape)[String(key)];
  if (schema instanceof z.ZodArray) return schema.element;
  return undefined;
}

/** Converts a schema issue to problems; an unknown key suggests a similar known key. */
function toProblems(issue: z.core.$ZodIssue): DeclarationProblem[] {
  if (issue.code !== 'unrecognized_keys') return [{ path: issue.path, problem: issue.message }];
  const known = listKeys(findSchemaAt(issue.path));
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    problem: `unknown key${formatSuggestion(key, known)}`,
  }));
}

/**
 * Returns the YAML node of a list item, or of a key in a map. The node of the key is used because
 * its value may start on a later line.
 */
function findNode(document: Document, path: readonly PropertyKey[]): unknown {
  const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
  if (!isMap(parent)) return document.getIn(path, true);
  return parent.items.find(({ key }) => isScalar(key) && key.value === path.at(-1))?.key;
}

/** Returns the line of a path, or of its closest ancestor that is in the file. */
function findLine(
  document: Document,
  counter: LineCounter,
  path: readonly PropertyKey[],
): number | undefined {
  for (let { length } = path; length > 0; length--) {
    const node = findNode(document, path.slice(0, length));
    if (isNode(node) && node.range) return counter.linePos(node.range[0]).line;
  }
  return undefined;
}

/** Creates one error that lists all problems with their paths and lines. */
function createProblemsError(
  file: string,
  text: string,
  problems: readonly DeclarationProblem[],
): Error {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter });
  const formatLocation = ({ path }: DeclarationProblem): string => {
    const line = findLine(document, lineCounter, path);
    return `${formatPath(path)}${line === undefined ? '' : ` (line ${line})`}`;
  };
  const [first, ...others] = problems;
  if (first === undefined) throw new TypeError('createProblemsError needs at least one problem');
  const endSentence = (problem: string): string =>
    problem.endsWith('?') ? problem : `${problem}.`;
  const lines = others.map(
    (other) => `\n${file}: ${formatLocation(other)}: ${endSentence(other.problem)}`,
  );
  return createError(ErrorKind.DeclarationInvalid, {
    file,
    path: formatLocation(first),
    problem: `${endSentence(first.problem)}${lines.join('')}${lines.length > 0 ? '\n' : ''}`,
  });
}

/** Throws `DeclarationTooLarge` if a declaration does not fit into the platform object. */
export function checkDeclarationSize(declaration: Declaration): void {
  const bytes = Buffer.byteLength(JSON.stringify(declaration));
  if (bytes <= MAX_DECLARATION_BYTES) return;
  const limitBytes = MAX_DECLARATION_BYTES;
  throw createError(ErrorKind.DeclarationTooLarge, { bytes, limitBytes });
}

/**
 * Parses and validates a declaration file with the version that it is based on. Throws one error
 * that lists every problem with its path and line.
 */
export function parseDeclarationFile(file: string, text: string): DeclarationFile {
  const value = parseYaml(file, text, ErrorKind.DeclarationInvalid);
  const result = declarationFileSchema.safeParse(value);
  if (!result.success) {
    throw createProblemsError(file, text, result.error.issues.flatMap(toProblems));
  }
  const { baseVersion, ...declaration } = result.data;
  const problems = listReferenceProblems(declaration);
  if (problems.length > 0) throw createProblemsError(file, text, problems);
  checkDeclarationSize(declaration);
  return { declaration, baseVersion };
}

/** Parses and validates a declaration; see `parseDeclarationFile` for the errors. */
export function parseDeclaration(file: string, text: string): Declaration {
  return parseDeclarationFile(file, text).declaration;
}
