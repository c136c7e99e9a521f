import { z } from 'zod';

/** One log line of a gateway. */
export interface LogEntry {
  /** Wall time of the line, in milliseconds. */
  wallMs: number;
  /** Gateway that wrote it: what stands before the line, or the file's name. */
  source: string;
  /** Message without the prefix of the part. */
  message: string;
  /** Values of the line. */
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
    // Captured output holds lines of other programs too.
    return [];
  }
}

/** Parses captured output; a source may stand before each line, and other lines are passed over. */
export function parseLog(text: string, file: string): LogEntry[] {
  return text.split('\n').flatMap((line) => parseLine(line, file));
}
