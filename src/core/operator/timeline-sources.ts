import { z } from 'zod';
import { createError, ErrorKind, formatProblem } from '../errors/index.ts';
import type { TimelineEvent } from '../events/index.ts';
import type { Event, PeerLinks } from '../rpc/index.ts';
import { checkValue, readTextFile } from '../settings/index.ts';
import type { DaemonStatusResult } from './daemons.ts';
import { mapInBatches } from './daemons.ts';
import type { TimelineFilter } from './timeline-filter.ts';

const eventSchema = z.object({
  wallMs: z.number(),
  counter: z.number(),
  process: z.string(),
  sequence: z.number(),
  part: z.string(),
  kind: z.string(),
  attributes: z.array(z.object({ name: z.string(), value: z.string() })),
});

const eventsSchema = z.array(eventSchema);

/** Output of `timeline --json`. */
const timelineOutputSchema = z.object({ events: z.array(z.unknown()) });

/** Events fetched from running daemons, and the daemons whose events could not be fetched. */
export interface LiveEvents {
  /** Events by daemon. */
  timelines: TimelineEvent[][];
  missing: { name: string; problem: string }[];
}

function toTimelineEvent(event: Event): TimelineEvent {
  const { counter, process, part, kind } = event;
  return {
    wallMs: Number(event.wallMs),
    counter,
    process,
    sequence: Number(event.sequence),
    part,
    kind,
    attributes: event.attributes.map(({ name, value }) => ({ name, value })),
  };
}

/** Lists the conditions that daemons apply themselves: attributes with an exact value. */
function listAttributes({ request, group }: TimelineFilter): { name: string; value: string }[] {
  return [
    ...(request === undefined ? [] : [{ name: 'request', value: request }]),
    ...(group === undefined ? [] : [{ name: 'group', value: group }]),
  ];
}

/** Fetches the events of all daemons that answered the status call. */
export async function fetchTimelines(
  links: PeerLinks,
  results: readonly DaemonStatusResult[],
  filter: TimelineFilter,
): Promise<LiveEvents> {
  const live: LiveEvents = { timelines: [], missing: [] };
  const request = {
    filter: listAttributes(filter),
    sinceWallMs: BigInt(Math.max(0, Math.floor(filter.sinceWallMs ?? 0))),
  };
  await mapInBatches(results, async ({ address, port, name, problem }) => {
    const title = name ?? `${address}:${port}`;
    if (problem !== undefined) {
      live.missing.push({ name: title, problem });
      return;
    }
    try {
      const { events } = await links.getClient(address, port).readTimeline(request);
      live.timelines.push(events.map(toTimelineEvent));
    } catch (error) {
      live.missing.push({ name: title, problem: formatProblem(error) });
    }
  });
  return live;
}

/** Parses a JSON value; returns undefined if the text is not valid JSON. */
function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parseLine(file: string, line: string, index: number): unknown {
  try {
    return JSON.parse(line);
  } catch (error) {
    const problem = `line ${index + 1} is not JSON: ${formatProblem(error)}.`;
    throw createError(ErrorKind.SettingsUnreadable, { file, problem });
  }
}

function parseLines(file: string, text: string): unknown[] {
  return text
    .split('\n')
    .map((line, index) => (line.trim() === '' ? undefined : parseLine(file, line, index)))
    .filter((value) => value !== undefined);
}

/** Reads events from the output of `timeline --json`, or from a file with one JSON event per line. */
export function readTimelineFile(file: string): TimelineEvent[] {
  const text = readTextFile(file);
  const timelineOutput = timelineOutputSchema.safeParse(tryParseJson(text));
  const value = timelineOutput.success ? timelineOutput.data.events : parseLines(file, text);
  return checkValue(file, value, eventsSchema, ErrorKind.SettingsInvalid);
}
