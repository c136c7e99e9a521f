export { compareTimes, createClock } from './clock.ts';
export { toEventMessage, toTimelineEvent } from './messages.ts';
export { createEventRecorder } from './recorder.ts';
export { formatEvent, mergeTimelines } from './timeline.ts';
export type {
  EventAttribute,
  EventAttributes,
  EventFilter,
  EventRecorder,
  HybridClock,
  HybridTime,
  TimelineEvent,
} from './types.ts';
