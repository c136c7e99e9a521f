import { z } from 'zod';
import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_HEAD_STATES, formatGroupKey, GroupState } from '../fleet/index.ts';
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
  /** The head has stopped serving it. */
  Confirmed = 'confirmed',
  /**
   * The head has no entry and does not respond. It may be dead, or cut off together with members
   * that come back before it.
   */
  Presumed = 'presumed',
  NotEnded = 'not-ended',
}

/** Tracks the heads of groups, also after their store entries are gone. */
export interface HeadRegistry {
  /** Records the groups that the entries show now. */
  update(groups: readonly EngineGroup[]): void;
  /**
   * Whether a group may be open although the entries do not show it as open:
   * - The head is reachable, its entry shows joining or ready, and the head has not confirmed that
   *   it does not serve.
   * - The head is unreachable, its entry shows open or closing, and the stall time has not passed.
   * - The head has no entry, and the group has not ended; a presumed end holds for a short time and
   *   must then be checked again. The wait is limited if the head refuses
   *   connections (stall time), or if this process does not know the head.
   */
  mayBeOpen(group: EngineGroup): boolean;
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
  /**
   * Returns the head of a group if its entry shows joining or ready and the head has not confirmed
   * that it does not serve.
   */
  findHeadToQuery(group: EngineGroup): Target | undefined;
  /** Records whether the head itself reported that it does not serve the group. */
  setNotServing(group: EngineGroup, isNotServing: boolean): void;
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
  /** Whether the head itself reported that it does not serve the group. */
  isNotServing: boolean;
}

/** States in an entry after which the head may have opened its group since. */
const POSSIBLY_OPEN_STATES: ReadonlySet<GroupState | undefined> = new Set([
  GroupState.Ready,
  GroupState.Joining,
]);

function mayHaveOpened(head: Target | undefined): boolean {
  return POSSIBLY_OPEN_STATES.has(head?.group?.state);
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

  const findHead = (group: EngineGroup, record: HeadRecord | undefined): GroupHead | undefined => {
    const stored = record?.storedLocation;
    return (
      group.headEngine ??
      record?.head ??
      parseGroupHead(group.name) ??
      (stored && { id: stored.headId, address: stored.address })
    );
  };

  /** Whether the entry of the head shows it in a later group. It can't return to an earlier one. */
  const hasHeadMovedOn = (group: EngineGroup, record: HeadRecord | undefined): boolean => {
    const head = findHead(group, record);
    const shown = head && findTarget(head.id)?.group;
    return shown !== undefined && shown.epoch > group.epoch;
  };

  const computeEnd = (
    record: HeadRecord | undefined,
    hasReachableEntry: boolean,
    hasMovedOn: boolean,
  ): GroupEnd => {
    if (hasMovedOn) return GroupEnd.Confirmed;
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
      seenMs: now,
      missingSinceMs: hasReachableEntry ? undefined : (record?.missingSinceMs ?? now),
      notListeningSinceMs: hasReachableEntry ? undefined : record?.notListeningSinceMs,
      end: computeEnd(record, hasReachableEntry, hasMovedOn),
      endPresumedMs: record?.endPresumedMs ?? -Infinity,
      isCloseRequested: record?.isCloseRequested === true && !hasReachableEntry,
      isNotServing:
        record?.isNotServing === true && !ACTIVE_HEAD_STATES.has(headEngine?.group?.state),
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
    mayBeOpen(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || hasEnded(record)) return false;
      const { headEngine } = group;
      // An entry may be older than the order that opened the group.
      if (record.missingSinceMs === undefined)
        return mayHaveOpened(headEngine) && !record.isNotServing;
      if (headEngine !== undefined && !ACTIVE_HEAD_STATES.has(headEngine.group?.state))
        return false;
      const missingMs = timers.getMonotonicMs() - record.missingSinceMs;
      // An unreachable head breaks its group by itself after the stall time.
      if (headEngine !== undefined) return missingMs <= stallMs;
      if (record.notListeningSinceMs !== undefined) {
        return timers.getMonotonicMs() - record.notListeningSinceMs <= stallMs;
      }
      return findHead(group, record) !== undefined || missingMs <= UNKNOWN_HEAD_WAIT_MS;
    },
    findHeadId: (group) => findHead(group, records.get(formatGroupKey(group)))?.id,
    findHeadToClose(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || group.headEngine !== undefined || record.isCloseRequested)
        return undefined;
      return findHeadTarget(group, record);
    },
    findHeadToQuery(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || record.missingSinceMs !== undefined || record.isNotServing) {
        return undefined;
      }
      return mayHaveOpened(group.headEngine) ? group.headEngine : undefined;
    },
    setNotServing: (group, isNotServing) => setRecord(group, { isNotServing }),
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
            seenMs: now,
            missingSinceMs: undefined,
            notListeningSinceMs: undefined,
            end: GroupEnd.NotEnded,
            endPresumedMs: -Infinity,
            isCloseRequested: false,
            isNotServing: false,
          });
        }
      }
    },
  };
}
