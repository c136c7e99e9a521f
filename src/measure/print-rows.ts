/** One row of results, keyed by column name. */
export type MeasureRow = Record<string, string | number>;

/** Prints rows to standard output as an aligned table, or as JSON. */
export function printRows(rows: readonly MeasureRow[], isJson: boolean): void {
  if (isJson) {
    process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
    return;
  }
  const names = Object.keys(rows[0] ?? {});
  const widths = names.map((name) =>
    Math.max(name.length, ...rows.map((row) => String(row[name]).length)),
  );
  const formatLine = (cells: readonly string[]): string =>
    cells
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  const lines = [names, ...rows.map((row) => names.map((name) => String(row[name])))];
  process.stdout.write(`${lines.map(formatLine).join('\n')}\n`);
}
