import { z } from 'zod';
import type { EngineGroup, Target } from '../fleet/index.ts';
import { ACTIVE_STATES, formatGroupKey, GroupState } from '../fleet/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Where the head of a group is; kept in the store, so that a new holder of the duty knows it. */
export const headNoteSchema = z.object({
  /** Service, name and epoch of the group. */
  group: z.string(),
  headId: z.string(),
  address: z.string(),
});

/** Where the head of a group is. */
export type HeadNote = z.infer<typeof headNoteSchema>;

/** What is known of the heads of groups, also after they lost their entries. */
export interface HeadBook {
  update(groups: readonly EngineGroup[]): void;
  /** Tells whether a group that does not show as open may be open all the same. */
  mayBeOpen(group: EngineGroup): boolean;
  /** Returns the head of a group that lost its entry and has not been asked to close it. */
  findHeadToAsk(group: EngineGroup): Target | undefined;
  markAsked(group: EngineGroup): void;
  /** Notes that the head takes no connection: it may leave and hold work that stands still. */
  setStopped(group: EngineGroup): void;
  /** Notes whether the group has ended; if not, its head is asked again. */
  setEnded(group: EngineGroup, isEnded: boolean): void;
  /** Returns the head of a group that shows as ready and has not been asked whether it is open. */
  findHeadToConfirm(group: EngineGroup): Target | undefined;
  setIdle(group: EngineGroup, isIdle: boolean): void;
  listNotes(): HeadNote[];
  addNotes(notes: readonly HeadNote[]): void;
}

/** What the book needs. */
export interface HeadBookOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  isUnreachable(targetId: string): boolean;
  /** Time after which a group without one of its members is broken. */
  stallMs: number;
}

/**
 * A new holder that has never seen the head of a group leaves its members alone for this long:
 * twice the time in which a head without its members breaks its group.
 */
const UNKNOWN_HEAD_MS = 10_000;
/** A group without a trace of its head or members is forgotten after this time. */
const FORGET_MS = 60_000;

interface HeadRecord {
  /** Last entry of the head; undefined if this process never saw one. */
  head: Target | undefined;
  /** Address from the notes of another holder. */
  note: HeadNote | undefined;
  seenMs: number;
  /** Since when the head has no entry, or answers nobody. */
  missingSinceMs: number | undefined;
  /** Since when the head has taken no connection. */
  stoppedSinceMs: number | undefined;
  /** Whether the head serves the group no more, or is gone itself. */
  isEnded: boolean;
  isAsked: boolean;
  /** Whether the head itself said that it does not serve the group. */
  isIdle: boolean;
}

/** States that an entry shows of a head that may have opened since. */
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

/** Creates an empty book. */
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
      // A head that answers nobody breaks its group by itself after the stall.
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
