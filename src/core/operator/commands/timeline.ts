import { writeFileSync } from 'node:fs';
import { command, flag, multioption, option, optional, string } from 'cmd-ts';
import type { Type } from 'cmd-ts';
import { formatEvent, mergeTimelines } from '../../events/index.ts';
import { COMMON_ARGUMENTS } from '../arguments.ts';
import { runWithContext } from '../context.ts';
import { fetchDaemonStatuses } from '../daemons.ts';
import { printResult } from '../output.ts';
import type { TimelineFilter } from '../timeline-filter.ts';
import { parseTime, selectEvents } from '../timeline-filter.ts';
import { renderTimelinePage } from '../timeline-html.ts';
import type { LiveEvents } from '../timeline-sources.ts';
import { fetchTimelines, readTimelineFile } from '../timeline-sources.ts';
import type { OperatorIo } from '../types.ts';

const stringList: Type<string[], string[]> = { from: async (values) => values };

function createTextOption(long: string, description: string) {
  return option({ type: optional(string), long, description });
}

function fetchLiveEvents(
  io: OperatorIo,
  settingsFile: string,
  filter: TimelineFilter,
): Promise<LiveEvents> {
  return runWithContext(io, settingsFile, async ({ links, settings }) => {
    const results = await fetchDaemonStatuses(links, settings.daemons);
    return fetchTimelines(links, results, filter);
  });
}

/** Creates the command that merges the events of all processes in chronological order. */
export function createTimelineCommand(io: OperatorIo) {
  return command({
    name: 'timeline',
    description: 'Merge the events of running daemons and of files into one timeline.',
    args: {
      request: createTextOption('request', 'only events of this request id'),
      group: createTextOption('group', 'only events of this group'),
      vm: createTextOption('vm', 'only events of this VM'),
      since: createTextOption('since', 'start time: 2026-12-04T12:00:00Z, or an age such as 15m'),
      until: createTextOption('until', 'end time, in the same format'),
      files: multioption({
        type: stringList,
        long: 'file',
        description: 'file with events as JSON',
      }),
      isOffline: flag({ long: 'offline', description: 'read only files and contact no daemon' }),
      html: createTextOption('html', 'write one self-contained HTML page to this file'),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      {
        description: 'Show the events of one request',
        command: 'clementinefork timeline --request r-17',
      },
      {
        description: 'Write the last 4 hours to an HTML page',
        command: 'clementinefork timeline --since 4h --html timeline.html',
      },
      {
        description: 'Save events and read them later',
        command:
          'clementinefork timeline --json > a.json; clementinefork timeline --offline --file a.json',
      },
    ],
    handler: async ({ settings, isJson, isOffline, files, html, since, until, ...conditions }) => {
      const nowWallMs = io.timers.getWallMs();
      const filter: TimelineFilter = {
        ...conditions,
        sinceWallMs: since === undefined ? undefined : parseTime(since, nowWallMs),
        untilWallMs: until === undefined ? undefined : parseTime(until, nowWallMs),
      };
      const stored = files.map(readTimelineFile);
      const live: LiveEvents = isOffline
        ? { timelines: [], missing: [] }
        : await fetchLiveEvents(io, settings, filter);
      const { timelines, missing } = live;
      const events = selectEvents(mergeTimelines([...stored, ...timelines]), filter);
      missing.forEach(({ name, problem }) =>
        io.writeError(`Warning: the events of ${name} are missing: ${problem}\n`),
      );
      if (html !== undefined) writeFileSync(html, renderTimelinePage('Timeline', events));
      const lines = html === undefined ? events.map(formatEvent) : [`Wrote ${html}.`];
      printResult(io, isJson, { events, missing }, lines);
    },
  });
}
