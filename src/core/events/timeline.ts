import { compareTimes } from './clock.ts';
import type { TimelineEvent } from './types.ts';

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return (
    compareTimes(left, right) ||
    left.process.localeCompare(right.process) ||
    left.sequence - right.sequence
  );
}

/**
 * Merges the events of several processes in order of their hybrid time and drops duplicates. Process
 * name and sequence number identify an event.
 */
export function mergeTimelines(timelines: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
  const byKey = new Map<string, TimelineEvent>();
  timelines.flat().forEach((event) => byKey.set(`${event.process}/${event.sequence}`, event));
  return [...byKey.values()].sort(compareEvents);
}

/** Formats an event as one line of text. */
export function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.wallMs).toISOString().slice(11, 23);
  const attributes = event.attributes.map(({ name, value }) => `${name}=${value}`).join(' ');
  return `${time}+${event.counter} ${event.process} ${event.part}: ${event.kind} ${attributes}`.trimEnd();
}
