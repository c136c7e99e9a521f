import { readFileSync } from 'node:fs';
import { LineCounter, parseDocument } from 'yaml';
import type { z } from 'zod';
import { createError, ErrorKind, formatProblem } from '../errors/index.ts';

/** Formats a path in a YAML document, such as `servingGroups[0].name`. */
export function formatPath(path: readonly PropertyKey[]): string {
  const text = path.reduce<string>(
    (result, key) => (typeof key === 'number' ? `${result}[${key}]` : `${result}.${String(key)}`),
    '',
  );
  return text.replace(/^\./, '') || '(root)';
}

/** Reads a text file; throws `SettingsUnreadable` with the file name if that fails. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw createError(ErrorKind.SettingsUnreadable, { file, problem: formatProblem(error) });
  }
}

/** Parses YAML; throws an error of the given kind with the line of a syntax error or duplicate key. */
export function parseYaml(file: string, text: string, kind: ErrorKind): unknown {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, prettyErrors: false, uniqueKeys: true });
  const [first] = document.errors;
  if (first !== undefined) {
    const { line } = lineCounter.linePos(first.pos[0]);
    throw createError(kind, { file, path: `line ${line}`, problem: first.message });
  }
  return document.toJS();
}

/** Validates a value against a schema; throws one error of the given kind that lists all issues. */
export function checkValue<Schema extends z.ZodType>(
  file: string,
  value: unknown,
  schema: Schema,
  kind: ErrorKind,
): z.infer<Schema> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const [first, ...rest] = result.error.issues.map(
    (issue) => `${formatPath(issue.path)}: ${issue.message}`,
  );
  const [path = '(root)', ...problem] = (first ?? '').split(': ');
  const others = rest.map((text) => `; ${text}`).join('');
  throw createError(kind, { file, path, problem: `${problem.join(': ')}${others}.` });
}

/** Reads and validates the settings of a process from a YAML file. */
export function readSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): z.infer<Schema> {
  const value = parseYaml(file, readTextFile(file), ErrorKind.SettingsInvalid);
  return checkValue(file, value, schema, ErrorKind.SettingsInvalid);
}
