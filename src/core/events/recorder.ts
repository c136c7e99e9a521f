import type { TimerService } from '../timers/index.ts';
import { createClock } from './clock.ts';
import { mergeTimelines } from './timeline.ts';
import type { EventAttributes, EventFilter, EventRecorder, TimelineEvent } from './types.ts';

/** Number of events that a process keeps in memory. */
const DEFAULT_CAPACITY_EVENTS = 4_096;

function buildAttributes(attributes: EventAttributes): TimelineEvent['attributes'] {
  return Object.entries(attributes).map(([name, value]) => ({ name, value: String(value) }));
}

function hasAttributes(event: TimelineEvent, filter: EventFilter): boolean {
  const required = filter.attributes ?? [];
  return required.every((attribute) =>
    event.attributes.some(
      (candidate) => candidate.name === attribute.name && candidate.value === attribute.value,
    ),
  );
}

/** Creates the event recorder of a process; it drops the oldest events beyond the capacity. */
export function createEventRecorder(
  process: string,
  timers: Pick<TimerService, 'getWallMs'>,
  capacity = DEFAULT_CAPACITY_EVENTS,
): EventRecorder {
  const clock = createClock(timers);
  const listeners = new Set<(event: TimelineEvent) => void>();
  let events: TimelineEvent[] = [];
  let sequence = 0;

  const addEvent = (event: TimelineEvent): void => {
    events.push(event);
    // Trims only when the array has twice the capacity, so that recording takes amortized constant
    // time.
    if (events.length > capacity * 2) events = events.slice(-capacity);
  };

  return {
    clock,
    record(part, kind, attributes = {}) {
      const event: TimelineEvent = {
        ...clock.tick(),
        process,
        sequence: sequence++,
        part,
        kind,
        attributes: buildAttributes(attributes),
      };
      addEvent(event);
      listeners.forEach((listener) => listener(event));
      return event;
    },
    addRemoteEvents(remote) {
      remote.forEach((event) => {
        clock.observeRemoteTime(event);
        addEvent(event);
      });
    },
    read(filter = {}) {
      const since = filter.sinceWallMs ?? 0;
      const kept = events
        .slice(-capacity)
        .filter((event) => event.wallMs >= since && hasAttributes(event, filter));
      const merged = mergeTimelines([kept]);
      return filter.limit === undefined ? merged : merged.slice(-filter.limit);
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
