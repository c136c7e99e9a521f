import type { OperatorIo } from './types.ts';

/** Prints a result as JSON or as lines of text. */
export function printResult(
  io: OperatorIo,
  isJson: boolean,
  value: unknown,
  lines: readonly string[],
): void {
  if (isJson) {
    io.writeOut(`${JSON.stringify(value, null, 2)}\n`);
    return;
  }
  lines.forEach((line) => io.writeOut(`${line}\n`));
}
