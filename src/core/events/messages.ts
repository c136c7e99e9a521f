import { create } from '@bufbuild/protobuf';
import type { TimelineEvent } from './types.ts';
import type { Event } from '../rpc/index.ts';
import { EventSchema } from '../rpc/index.ts';

/** Converts a recorded event to its protobuf message. */
export function toEventMessage(event: TimelineEvent): Event {
  return create(EventSchema, {
    ...event,
    wallMs: BigInt(event.wallMs),
    sequence: BigInt(event.sequence),
  });
}

/** Converts a protobuf message to a recorded event. */
export function toTimelineEvent(message: Event): TimelineEvent {
  const { process, part, kind, counter } = message;
  return {
    process,
    part,
    kind,
    counter,
    wallMs: Number(message.wallMs),
    sequence: Number(message.sequence),
    attributes: message.attributes.map(({ name, value }) => ({ name, value })),
  };
}
