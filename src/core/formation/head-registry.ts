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

/** Whether a group has ended, as far as an order to close it has shown. */
export enum GroupEnd {
  /** The head has left it, so that no order can open it again. */
  Confirmed = 'confirmed',
  /**
   * The head has no entry and does not respond. It may be dead, or cut off together with members
   * that come back before it.
   */
  Presumed = 'presumed',
  NotEnded = 'not-ended',
}

/** What identifies a group. */
export type GroupKey = Pick<EngineGroup, 'service' | 'name' | 'epoch'>;

/** Tracks the heads of groups, also after their store entries are gone. */
export interface HeadRegistry {
  /** Records the groups that the entries show now. */
  update(groups: readonly EngineGroup[]): void;
  /** Whether the end of a group is confirmed, whatever the entries show. */
  hasEnded(group: GroupKey): boolean;
  /**
   * Whether a group may be open, now or later: until it has ended, since an order to open it may be
   * carried out late. A presumed end holds for a short time and must then be checked again. If the
   * head has no entry, the wait is limited when it refuses connections (stall time), or when this
   * process does not know the head.
   */
  mayBeOpen(group: GroupKey): boolean;
  /** Returns the id of the head of a group, if this process knows it. */
  findHeadId(group: EngineGroup): string | undefined;
  /** Returns the head of a group if its entry is gone and it has not been ordered to close yet. */
  findHeadToClose(group: EngineGroup): Target | undefined;
  /** Records that the head is being ordered to close the group. */
  markCloseRequested(group: EngineGroup): void;
  /** Records that the head refuses connections: it may be leaving with requests that stall. */
  markNotListening(group: EngineGroup): void;
  /** Records what a close has shown; unless the end is confirmed, the head is ordered to close again. */
  recordCloseResult(group: EngineGroup, end: GroupEnd): void;
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

/**
 * The members of a group whose name and entries do not tell its head are not used for this long: twice
 * the time after which a head that lost its members breaks its group.
 */
const UNKNOWN_HEAD_WAIT_MS = 10_000;
/**
 * How long the members of a group may be used after its head did not respond. Later, a partition that
 * hid the head may be over, so it is asked again.
 */
const PRESUMED_END_MS = 600;
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
  end: GroupEnd;
  /** When the end was presumed. */
  endPresumedMs: number;
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

  const computeEnd = (
    record: HeadRecord | undefined,
    hasReachableEntry: boolean,
    hasMovedOn: boolean,
  ): GroupEnd => {
    // An entry that shows the head in a group that has ended is older than the end.
    if (hasMovedOn || record?.end === GroupEnd.Confirmed) return GroupEnd.Confirmed;
    return record === undefined || hasReachableEntry ? GroupEnd.NotEnded : record.end;
  };

  const updateGroup = (group: EngineGroup, now: number): void => {
    const key = formatGroupKey(group);
    const record = records.get(key);
    const { headEngine } = group;
    const hasReachableEntry = headEngine !== undefined && !isUnreachable(headEngine.id);
    const hasMovedOn = hasHeadMovedOn(group, record);
    records.set(key, {
      head: headEngine ?? record?.head,
      storedLocation: record?.storedLocation,
      hasHeadEntry: headEngine !== undefined,
      seenMs: now,
      missingSinceMs: hasReachableEntry ? undefined : (record?.missingSinceMs ?? now),
      notListeningSinceMs: hasReachableEntry ? undefined : record?.notListeningSinceMs,
      end: computeEnd(record, hasReachableEntry, hasMovedOn),
      endPresumedMs: record?.endPresumedMs ?? -Infinity,
      isCloseRequested: record?.isCloseRequested === true && !hasReachableEntry,
    });
  };

  const hasEnded = ({ end, endPresumedMs }: HeadRecord): boolean =>
    end === GroupEnd.Confirmed ||
    (end === GroupEnd.Presumed && timers.getMonotonicMs() - endPresumedMs <= PRESUMED_END_MS);

  const findHeadTarget = (group: EngineGroup, record: HeadRecord): Target | undefined => {
    const head = findHead(group, record);
    return record.head ?? (head && buildHeadTarget(head, group));
  };

  const setRecord = (group: EngineGroup, change: Partial<HeadRecord>): void => {
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
    hasEnded: (group) => records.get(formatGroupKey(group))?.end === GroupEnd.Confirmed,
    mayBeOpen(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined) return true;
      if (hasEnded(record)) return false;
      if (record.missingSinceMs === undefined || record.hasHeadEntry) return true;
      const now = timers.getMonotonicMs();
      if (record.notListeningSinceMs !== undefined) {
        return now - record.notListeningSinceMs <= stallMs;
      }
      const isHeadKnown = findHead(group, record) !== undefined;
      return isHeadKnown || now - record.missingSinceMs <= UNKNOWN_HEAD_WAIT_MS;
    },
    findHeadId: (group) => findHead(group, records.get(formatGroupKey(group)))?.id,
    findHeadToClose(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || group.headEngine !== undefined || record.isCloseRequested)
        return undefined;
      return findHeadTarget(group, record);
    },
    findHeadToRelease(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || record.missingSinceMs !== undefined || hasEnded(record)) {
        return undefined;
      }
      const isServing = ACTIVE_HEAD_STATES.has(group.headEngine?.group?.state);
      return isServing ? undefined : group.headEngine;
    },
    markNotListening: (group) => {
      const record = records.get(formatGroupKey(group));
      if (record !== undefined) record.notListeningSinceMs ??= timers.getMonotonicMs();
    },
    markCloseRequested: (group) => setRecord(group, { isCloseRequested: true }),
    recordCloseResult: (group, end) =>
      setRecord(group, {
        end,
        endPresumedMs: timers.getMonotonicMs(),
        isCloseRequested: end === GroupEnd.Confirmed,
      }),
    listLocations: () =>
      [...records].flatMap(([group, { head, storedLocation, end }]) => {
        if (end === GroupEnd.Confirmed) return [];
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
            end: GroupEnd.NotEnded,
            endPresumedMs: -Infinity,
            isCloseRequested: false,
          });
        }
      }
    },
  };
}
