/* eslint-disable import-x/prefer-default-export -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// Writes what was sent, answered and run to a file, with the time in seconds.
import { writeFileSync } from 'node:fs';

/** Creates a recorder; `save` writes the lines to the file. */
export function createRecorder(file) {
  const startMs = Date.now();
  const lines = [];
  const record = (what, fields = {}) => {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    lines.push(`${((Date.now() - startMs) / 1000).toFixed(3)} ${what} ${text.join(' ')}`.trim());
  };
  return { record, save: () => writeFileSync(file, `${lines.join('\n')}\n`) };
}
