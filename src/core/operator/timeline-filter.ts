import { createError, ErrorKind } from '../errors/index.ts';
import type { TimelineEvent } from '../events/index.ts';
import { MS_PER_S } from './consts.ts';

const MS_PER_MINUTE = 60 * MS_PER_S;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;
const MS_PER_UNIT: Readonly<Record<string, number>> = {
  s: MS_PER_S,
  m: MS_PER_MINUTE,
  h: MS_PER_HOUR,
  d: 24 * MS_PER_HOUR,
};
const AGE_PATTERN = /^(?<count>\d+)(?<unit>[smhd])$/;

/** Attributes whose value can be the name of a VM. */
const VM_ATTRIBUTES: ReadonlySet<string> = new Set(['vm', 'target', 'member', 'owner', 'daemon']);

/** Selects events of the merged timeline; an undefined field matches every event. */
export interface TimelineFilter {
  request?: string | undefined;
  group?: string | undefined;
  vm?: string | undefined;
  sinceWallMs?: number | undefined;
  untilWallMs?: number | undefined;
}

/** Parses an ISO 8601 time, or an age such as `15m` before now, to wall-clock milliseconds. */
export function parseTime(text: string, nowWallMs: number): number {
  const groups = AGE_PATTERN.exec(text)?.groups;
  if (groups !== undefined) {
    return nowWallMs - Number(groups.count) * (MS_PER_UNIT[groups.unit ?? ''] ?? 0);
  }
  const wallMs = Date.parse(text);
  if (!Number.isNaN(wallMs)) return wallMs;
  const problem = `"${text}" is not a time; use a format such as 2026-12-04T12:00:00Z, or an age such as 15m, 2h or 1d.`;
  throw createError(ErrorKind.UsageInvalid, { problem });
}

function hasAttribute(event: TimelineEvent, name: string, value: string | undefined): boolean {
  if (value === undefined) return true;
  return event.attributes.some((attribute) => attribute.name === name && attribute.value === value);
}

function hasVm(event: TimelineEvent, vm: string | undefined): boolean {
  if (vm === undefined || event.process === vm) return true;
  return event.attributes.some(({ name, value }) => VM_ATTRIBUTES.has(name) && value === vm);
}

/** Returns the events that match all conditions of the filter. */
export function selectEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): TimelineEvent[] {
  const sinceWallMs = filter.sinceWallMs ?? Number.NEGATIVE_INFINITY;
  const untilWallMs = filter.untilWallMs ?? Number.POSITIVE_INFINITY;
  return events.filter(
    (event) =>
      event.wallMs >= sinceWallMs &&
      event.wallMs <= untilWallMs &&
      hasAttribute(event, 'request', filter.request) &&
      hasAttribute(event, 'group', filter.group) &&
      hasVm(event, filter.vm),
  );
}
