import { z } from 'zod';
import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_HEAD_STATES, formatGroupKey } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { GroupHead } from './group-name.ts';
import { parseGroupHead } from './group-name.ts';

/** Location of the head of a group; stored so that a new leader knows it. */
export const headLocationSchema = z.object({
  /** Key of the group, as `formatGroupKey` returns it. */
  group: z.string(),
  headId: z.string(),
  address: z.string(),
});

/** Location of the head of a group. */
export type HeadLocation = z.infer<typeof headLocationSchema>;

/** What identifies a group. */
export type GroupKey = Pick<EngineGroup, 'service' | 'name' | 'epoch'>;

/** Tracks the heads of groups, also after their store entries are gone. */
export interface HeadRegistry {
  /** Records the groups that the entries show now. */
  update(groups: readonly EngineGroup[]): void;
  /**
   * Whether a group has ended, whatever the entries show: its head has left it, or it was never ordered
   * to open. Until then it may be open, now or later, as an order to open it may be carried out late.
   */
  hasEnded(group: GroupKey): boolean;
  /** Returns the id of the head of a group, if this process knows it. */
  findHeadId(group: EngineGroup): string | undefined;
  /** Returns the head of a group if its entry is gone and it has not been ordered to close yet. */
  findHeadToClose(group: EngineGroup): Target | undefined;
  /** Records that the head is being ordered to close the group. */
  markCloseRequested(group: EngineGroup): void;
  /**
   * Records that the head refuses connections, so that it may be leaving with requests in progress. Returns
   * whether it has done so for the stall time.
   */
  recordNotListening(group: GroupKey): boolean;
  /** Records that the group has ended. */
  recordEnd(group: GroupKey): void;
  /** Records that the head has not closed the group, so that it is ordered to again. */
  resetCloseRequest(group: GroupKey): void;
  /** Whether this process does not know the head of a group, and has not for some time. */
  isHeadUnknown(group: EngineGroup): boolean;
  /** Returns the head of a group that has not ended if its entry does not show it as serving. */
  findHeadToRelease(group: EngineGroup): Target | undefined;
  /** Returns the head locations of the groups that have not ended, for the next leader. */
  listLocations(): HeadLocation[];
  /** Adds the locations that another leader stored; heads that this process saw take precedence. */
  addLocations(locations: readonly HeadLocation[]): void;
}

/** Dependencies and settings of a head registry. */
export interface HeadRegistryOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  findTarget(id: string): Target | undefined;
  isUnreachable(targetId: string): boolean;
  /** Time after which a group breaks when its head or another member does not respond, in ms. */
  stallMs: number;
}

/** A group without a known head is given up after this time. */
const UNKNOWN_HEAD_WAIT_MS = 10_000;
/** The record of a group is removed when no entry has named the group for this long. */
const RECORD_TTL_MS = 60_000;

interface HeadRecord {
  /** Last known entry of the head; undefined if this process never saw one. */
  head: Target | undefined;
  /** Location stored by another leader. */
  storedLocation: HeadLocation | undefined;
  /** Whether the entries show the head in the group. */
  hasHeadEntry: boolean;
  seenMs: number;
  /** Since when the head has had no entry or has been unreachable. */
  missingSinceMs: number | undefined;
  /** Since when the head has refused connections. */
  notListeningSinceMs: number | undefined;
  hasEnded: boolean;
  /** Whether the head has been ordered to close the group. */
  isCloseRequested: boolean;
}

/**
 * Builds a stand-in target for a head whose entry this process never saw: only id and address are
 * the head's, the other fields are those of another member. Undefined without any member.
 */
function buildHeadTarget({ id, address }: GroupHead, group: EngineGroup): Target | undefined {
  const member = group.membersByRank.find((one) => one !== undefined);
  return member && { ...member, id, address };
}

/** Creates an empty head registry. */
export function createHeadRegistry(options: HeadRegistryOptions): HeadRegistry {
  const { timers, findTarget, isUnreachable, stallMs } = options;
  const records = new Map<string, HeadRecord>();

  const findHead = (group: GroupKey, record: HeadRecord | undefined): GroupHead | undefined => {
    const stored = record?.storedLocation;
    return (
      record?.head ??
      parseGroupHead(group.name) ??
      (stored && { id: stored.headId, address: stored.address })
    );
  };

  /** Whether the entry of the head shows it in a later group. It can't return to an earlier one. */
  const hasHeadMovedOn = (group: EngineGroup, record: HeadRecord | undefined): boolean => {
    const head = group.headEngine ?? findHead(group, record);
    const shown = head && findTarget(head.id)?.group;
    return shown !== undefined && shown.epoch > group.epoch;
  };

  const updateGroup = (group: EngineGroup, now: number): void => {
    const key = formatGroupKey(group);
    const record = records.get(key);
    const { headEngine } = group;
    const hasReachableEntry = headEngine !== undefined && !isUnreachable(headEngine.id);
    records.set(key, {
      head: headEngine ?? record?.head,
      storedLocation: record?.storedLocation,
      hasHeadEntry: headEngine !== undefined,
      seenMs: now,
      missingSinceMs: hasReachableEntry ? undefined : (record?.missingSinceMs ?? now),
      notListeningSinceMs: hasReachableEntry ? undefined : record?.notListeningSinceMs,
      // An entry that shows the head in a group that has ended is older than the end.
      hasEnded: record?.hasEnded === true || hasHeadMovedOn(group, record),
      isCloseRequested: record?.isCloseRequested === true && !hasReachableEntry,
    });
  };

  const findHeadTarget = (group: EngineGroup, record: HeadRecord): Target | undefined => {
    const head = findHead(group, record);
    return record.head ?? (head && buildHeadTarget(head, group));
  };

  const setRecord = (group: GroupKey, change: Partial<HeadRecord>): void => {
    const record = records.get(formatGroupKey(group));
    if (record !== undefined) Object.assign(record, change);
  };

  return {
    update(groups) {
      const now = timers.getMonotonicMs();
      groups.forEach((group) => updateGroup(group, now));
      for (const [key, { seenMs }] of records)
        if (now - seenMs > RECORD_TTL_MS) records.delete(key);
    },
    hasEnded: (group) => records.get(formatGroupKey(group))?.hasEnded === true,
    findHeadId: (group) => findHead(group, records.get(formatGroupKey(group)))?.id,
    findHeadToClose(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || group.headEngine !== undefined || record.isCloseRequested)
        return undefined;
      return findHeadTarget(group, record);
    },
    findHeadToRelease(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || record.missingSinceMs !== undefined || record.hasEnded) {
        return undefined;
      }
      const isServing = ACTIVE_HEAD_STATES.has(group.headEngine?.group?.state);
      return isServing ? undefined : group.headEngine;
    },
    isHeadUnknown(group) {
      const record = records.get(formatGroupKey(group));
      if (record?.missingSinceMs === undefined || record.hasHeadEntry) return false;
      if (findHead(group, record) !== undefined) return false;
      return timers.getMonotonicMs() - record.missingSinceMs > UNKNOWN_HEAD_WAIT_MS;
    },
    recordNotListening(group) {
      const now = timers.getMonotonicMs();
      const sinceMs = records.get(formatGroupKey(group))?.notListeningSinceMs ?? now;
      setRecord(group, { notListeningSinceMs: sinceMs });
      return now - sinceMs > stallMs;
    },
    markCloseRequested: (group) => setRecord(group, { isCloseRequested: true }),
    recordEnd: (group) => setRecord(group, { hasEnded: true, isCloseRequested: true }),
    resetCloseRequest: (group) => setRecord(group, { isCloseRequested: false }),
    listLocations: () =>
      [...records].flatMap(([group, { head, storedLocation, hasEnded }]) => {
        if (hasEnded) return [];
        return head === undefined
          ? (storedLocation ?? [])
          : { group, headId: head.id, address: head.address };
      }),
    addLocations(locations) {
      const now = timers.getMonotonicMs();
      for (const location of locations) {
        const record = records.get(location.group);
        if (record !== undefined) record.storedLocation = location;
        else {
          records.set(location.group, {
            head: undefined,
            storedLocation: location,
            hasHeadEntry: false,
            seenMs: now,
            missingSinceMs: undefined,
            notListeningSinceMs: undefined,
            hasEnded: false,
            isCloseRequested: false,
          });
        }
      }
    },
  };
}
