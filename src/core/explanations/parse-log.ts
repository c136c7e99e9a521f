import { z } from 'zod';

/** One log line of a gateway. */
export interface LogEntry {
  /** Wall time at which the line was logged, in milliseconds since the Unix epoch. */
  wallMs: number;
  /** Gateway that wrote the line: the word before the JSON, or the file name without one. */
  source: string;
  /** Message without the `[part]` prefix. */
  message: string;
  /** Fields of the line, without those that the logger adds. */
  values: Readonly<Record<string, string | number | boolean | null>>;
}

const lineSchema = z.object({
  context: z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.null()])),
  message: z.string(),
  time: z.number(),
});

/** Fields that the logger adds to every line. */
const LOGGER_FIELDS: ReadonlySet<string> = new Set(['part', 'logLevel']);

function parseLine(line: string, file: string): LogEntry[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  try {
    const { context, message, time } = lineSchema.parse(JSON.parse(line.slice(start)));
    const [source] = line.slice(0, start).trim().split(/\s+/).slice(-1);
    const values = Object.fromEntries(
      Object.entries(context).filter(([name]) => !LOGGER_FIELDS.has(name)),
    );
    return [
      {
        wallMs: time,
        source: source === undefined || source === '' ? file : source,
        message: message.replace(/^\[[^\]]*\] /, ''),
        values,
      },
    ];
  } catch {
    // Captured output also contains lines of other programs.
    return [];
  }
}

/** Parses captured output. A source may precede each line; lines that are not logs are skipped. */
export function parseLog(text: string, file: string): LogEntry[] {
  return text.split('\n').flatMap((line) => parseLine(line, file));
}
