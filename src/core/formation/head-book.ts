import { z } from 'zod';
import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_STATES, formatGroupKey, GroupState } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Location of the head of a group; stored so that a new leader knows it. */
export const headNoteSchema = z.object({
  /** Service, name and epoch of the group. */
  group: z.string(),
  headId: z.string(),
  address: z.string(),
});

/** Location of the head of a group. */
export type HeadNote = z.infer<typeof headNoteSchema>;

/** Tracks the heads of groups, also after their store entries are gone. */
export interface HeadBook {
  /** Records the groups that the entries show now. */
  update(groups: readonly EngineGroup[]): void;
  /** Whether a group whose entries do not show it as open may be open nevertheless. */
  mayBeOpen(group: EngineGroup): boolean;
  /** Returns the head of a group if its entry is gone and it has not been asked to close yet. */
  findHeadToAsk(group: EngineGroup): Target | undefined;
  markAsked(group: EngineGroup): void;
  /** Records that the head refuses connections: it may be leaving with requests that stall. */
  setStopped(group: EngineGroup): void;
  /** Records whether the group has ended; if not, its head is asked to close it again. */
  setEnded(group: EngineGroup, isEnded: boolean): void;
  /** Returns the head of a group if its entry shows a state before open that is unconfirmed. */
  findHeadToConfirm(group: EngineGroup): Target | undefined;
  /** Records whether the head itself reported that it does not serve the group. */
  setIdle(group: EngineGroup, isIdle: boolean): void;
  listNotes(): HeadNote[];
  addNotes(notes: readonly HeadNote[]): void;
}

/** Dependencies and settings of a head registry. */
export interface HeadBookOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  isUnreachable(targetId: string): boolean;
  /** Time after which a group that misses a member breaks, in ms. */
  stallMs: number;
}

/**
 * A new leader that has never seen the head of a group does not use its members for this long:
 * twice the time after which a head that lost its members breaks its group.
 */
const UNKNOWN_HEAD_MS = 10_000;
/** The record of a group is removed when no entry has named the group for this long. */
const FORGET_MS = 60_000;

interface HeadRecord {
  /** Last known entry of the head; undefined if this process never saw one. */
  head: Target | undefined;
  /** Location stored by another leader. */
  note: HeadNote | undefined;
  seenMs: number;
  /** Since when the head has had no entry or has been unreachable. */
  missingSinceMs: number | undefined;
  /** Since when the head has refused connections. */
  stoppedSinceMs: number | undefined;
  /** Whether the head has stopped serving the group, or is dead. */
  isEnded: boolean;
  /** Whether the head has been asked to close the group. */
  isAsked: boolean;
  /** Whether the head itself reported that it does not serve the group. */
  isIdle: boolean;
}

/** States in an entry after which the head may have opened its group since. */
const UNCERTAIN_STATES: ReadonlySet<GroupState | undefined> = new Set([
  GroupState.Ready,
  GroupState.Joining,
]);

function isUncertain(head: Target | undefined): boolean {
  return UNCERTAIN_STATES.has(head?.group?.state);
}

function toTarget(note: HeadNote, group: EngineGroup): Target | undefined {
  const member = group.members.find((one) => one !== undefined);
  return member && { ...member, id: note.headId, address: note.address };
}

/** Creates an empty head registry. */
export function createHeadBook(options: HeadBookOptions): HeadBook {
  const { timers, isUnreachable, stallMs } = options;
  const records = new Map<string, HeadRecord>();

  const updateGroup = (group: EngineGroup, now: number): void => {
    const key = formatGroupKey(group);
    const record = records.get(key);
    const { head } = group;
    const isPresent = head !== undefined && !isUnreachable(head.id);
    records.set(key, {
      head: head ?? record?.head,
      note: record?.note,
      seenMs: now,
      missingSinceMs: isPresent ? undefined : (record?.missingSinceMs ?? now),
      stoppedSinceMs: isPresent ? undefined : record?.stoppedSinceMs,
      isEnded: record?.isEnded === true && !isPresent,
      isAsked: record?.isAsked === true && !isPresent,
      isIdle: record?.isIdle === true && !ACTIVE_STATES.has(head?.group?.state),
    });
  };

  const findKnownHead = (group: EngineGroup, record: HeadRecord): Target | undefined =>
    record.head ?? (record.note && toTarget(record.note, group));

  const setRecord = (group: EngineGroup, change: Partial<HeadRecord>): void => {
    const record = records.get(formatGroupKey(group));
    if (record !== undefined) Object.assign(record, change);
  };

  return {
    update(groups) {
      const now = timers.getMonotonicMs();
      groups.forEach((group) => updateGroup(group, now));
      for (const [key, { seenMs }] of records) if (now - seenMs > FORGET_MS) records.delete(key);
    },
    mayBeOpen(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || record.isEnded) return false;
      const { head } = group;
      // An entry may be older than the order that opened the group.
      if (record.missingSinceMs === undefined) return isUncertain(head) && !record.isIdle;
      if (head !== undefined && !ACTIVE_STATES.has(head.group?.state)) return false;
      const missingMs = timers.getMonotonicMs() - record.missingSinceMs;
      // An unreachable head breaks its group by itself after the stall time.
      if (head !== undefined) return missingMs <= stallMs;
      if (record.stoppedSinceMs !== undefined) {
        return timers.getMonotonicMs() - record.stoppedSinceMs <= stallMs;
      }
      if (findKnownHead(group, record) === undefined) return missingMs <= UNKNOWN_HEAD_MS;
      return true;
    },
    findHeadToAsk(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || group.head !== undefined || record.isAsked) return undefined;
      return findKnownHead(group, record);
    },
    findHeadToConfirm(group) {
      const record = records.get(formatGroupKey(group));
      if (record === undefined || record.missingSinceMs !== undefined || record.isIdle) {
        return undefined;
      }
      return isUncertain(group.head) ? group.head : undefined;
    },
    setIdle: (group, isIdle) => setRecord(group, { isIdle }),
    setStopped: (group) => {
      const record = records.get(formatGroupKey(group));
      if (record !== undefined) record.stoppedSinceMs ??= timers.getMonotonicMs();
    },
    markAsked: (group) => setRecord(group, { isAsked: true }),
    setEnded: (group, isEnded) => setRecord(group, { isEnded, isAsked: isEnded }),
    listNotes: () =>
      [...records].flatMap(([group, { head, note, isEnded }]) => {
        if (isEnded) return [];
        return head === undefined
          ? (note ?? [])
          : { group, headId: head.id, address: head.address };
      }),
    addNotes(notes) {
      const now = timers.getMonotonicMs();
      for (const note of notes) {
        const record = records.get(note.group);
        if (record !== undefined) record.note = note;
        else {
          records.set(note.group, {
            head: undefined,
            note,
            seenMs: now,
            missingSinceMs: undefined,
            stoppedSinceMs: undefined,
            isEnded: false,
            isAsked: false,
            isIdle: false,
          });
        }
      }
    },
  };
}
