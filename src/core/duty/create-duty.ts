import { z } from 'zod';
import type { Logger } from '../logs/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import { StoreFailure, StoreKind } from '../store/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** What the duty needs. */
export interface DutyOptions<Notes> {
  /** Name of the duty's object. */
  name: string;
  vmName: string;
  incarnation: number;
  store: StoreClient;
  timers: TimerService;
  logger: Logger;
  /** Whether a gateway that says it holds the duty has been heard lately. */
  isHolderHeard(): boolean;
  /** Whether this gateway may take the duty; a few of a large fleet are enough. */
  isCandidate(): boolean;
  notesSchema: z.ZodType<Notes>;
}

/** What the holder does with the duty. */
export interface DutyListener<Notes> {
  /** What the next holder has to know; it is stored with each renewal. */
  getNotes(): Notes;
  /** Called when this process takes the duty, with what the holder before it stored. */
  handleTaken(term: number, notes: Notes | undefined): void;
  handleLost(): void;
}

/** Work that one gateway does for all, under a lease in the store. */
export interface Duty<Notes> {
  /** Starts to compete for the duty. */
  start(listener: DutyListener<Notes>): void;
  /** Term that this process holds and may act on now; 0 without. */
  getTerm(): number;
  /** Gives the duty up, so that another gateway takes it at once. */
  release(): Promise<void>;
  stop(): void;
}

const recordSchema = z.object({
  /** Empty if the duty was given up. */
  holder: z.string(),
  incarnation: z.number(),
  /** Increases with each holder; epochs of groups begin with it. */
  term: z.number(),
  /** Increases with each renewal, so that the object changes. */
  renewals: z.number(),
  notes: z.unknown(),
});
type DutyRecord = z.infer<typeof recordSchema>;

/** Time between renewals. */
const RENEW_PERIOD_MS = 800;
/** A holder that did not renew for this long is replaced: two renewals and a slow answer. */
const LEASE_MS = 2_500;
/** A holder stops acting this long before its lease ends: the longest order on its way. */
const ACT_MARGIN_MS = 600;
/** Period at which a process without the duty looks whether it is held. */
const LOOK_PERIOD_MS = 300;
/** A difference between the clocks that shows that this process was suspended. */
const SUSPENDED_MS = 500;

/** Creates a duty; this process competes for it once it is started. */
export function createDuty<Notes>(options: DutyOptions<Notes>): Duty<Notes> {
  const { name, vmName, incarnation, store, timers, logger, isHolderHeard, isCandidate } = options;
  let listener: DutyListener<Notes> | undefined;
  let held: DutyRecord | undefined;
  let revision = 0;
  let leaseEndMs = 0;
  let clockOffsetMs = timers.getWallMs() - timers.getMonotonicMs();
  let seen: { revision: number; sinceMs: number } | undefined;
  let isStopped = false;
  let cancelNext: Unsubscribe | undefined;

  const markHeld = (
    record: DutyRecord,
    object: StoreObject,
    sentMs: number,
    notesBefore?: unknown,
  ): void => {
    const isNew = held?.term !== record.term;
    held = record;
    revision = object.revision;
    leaseEndMs = sentMs + LEASE_MS;
    clockOffsetMs = timers.getWallMs() - timers.getMonotonicMs();
    if (!isNew) return;
    logger.info('took the duty', { duty: name, term: record.term, revision });
    const stored = options.notesSchema.safeParse(notesBefore);
    listener?.handleTaken(record.term, stored.data);
  };

  const markLost = (reason: string): void => {
    if (held === undefined) return;
    logger.warn('lost the duty', { duty: name, term: held.term, reason });
    held = undefined;
    seen = undefined;
    listener?.handleLost();
  };

  /** After a lost answer: the renewal may have been written, now or later. */
  const readBack = async (record: DutyRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.fetchObject(StoreKind.Duties, name);
    if (result.kind !== 'ok' || held !== record) return;
    const current = recordSchema.safeParse(result.value.spec).data;
    const isOurs = current?.term === record.term && current.incarnation === incarnation;
    if (current !== undefined && isOurs) markHeld(current, result.value, sentMs);
    else markLost('another holder');
  };

  const renew = async (record: DutyRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const next = { ...record, renewals: record.renewals + 1, notes: listener?.getNotes() };
    const result = await store.replaceObject(StoreKind.Duties, name, revision, next);
    if (held !== record) return;
    if (result.kind === 'ok') markHeld(next, result.value, sentMs);
    else if (result.kind === StoreFailure.Unknown) await readBack(record);
    else if (result.kind !== StoreFailure.NotDone) markLost(result.problem);
  };

  const take = async (object: StoreObject, record: DutyRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const { notes } = record;
    const next = { holder: vmName, incarnation, term: record.term + 1, renewals: 0, notes };
    const result = await store.replaceObject(StoreKind.Duties, name, object.revision, next);
    if (result.kind === 'ok') markHeld(next, result.value, sentMs, notes);
    else logger.info('the duty was not taken', { duty: name, problem: result.problem });
  };

  const createRecord = async (): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const notes = listener?.getNotes();
    const first = { holder: vmName, incarnation, term: 1, renewals: 0, notes };
    const result = await store.createObject(StoreKind.Duties, name, first);
    if (result.kind === 'ok') markHeld(first, result.value, sentMs);
  };

  const look = async (): Promise<void> => {
    if (isHolderHeard() || !isCandidate()) {
      seen = undefined;
      return;
    }
    const result = await store.fetchObject(StoreKind.Duties, name);
    if (isStopped) return;
    if (result.kind === StoreFailure.NotFound) await createRecord();
    if (result.kind !== 'ok') return;
    const object = result.value;
    const record = recordSchema.safeParse(object.spec).data ?? {
      holder: '',
      incarnation: 0,
      term: object.revision,
      renewals: 0,
      notes: undefined,
    };
    const now = timers.getMonotonicMs();
    if (seen?.revision !== object.revision) seen = { revision: object.revision, sinceMs: now };
    const isOwnPast = record.holder === vmName;
    const isLapsed = now - seen.sinceMs >= LEASE_MS;
    if (record.holder === '' || isOwnPast || isLapsed) await take(object, record);
  };

  const step = async (): Promise<void> => {
    if (held === undefined) await look();
    else await renew(held);
    if (held !== undefined && timers.getMonotonicMs() > leaseEndMs) markLost('lease over');
  };

  const scheduleStep = (delayMs: number): void => {
    if (isStopped) return;
    cancelNext = timers.scheduleOnce(delayMs, () => {
      step()
        .catch((error: unknown) => logger.error('duty step failed', { problem: String(error) }))
        .finally(() => scheduleStep(held === undefined ? LOOK_PERIOD_MS : RENEW_PERIOD_MS));
    });
  };

  const wasSuspended = (): boolean => {
    const offsetMs = timers.getWallMs() - timers.getMonotonicMs();
    return Math.abs(offsetMs - clockOffsetMs) > SUSPENDED_MS;
  };

  return {
    start(started) {
      listener = started;
      scheduleStep(0);
    },
    getTerm() {
      if (held === undefined || wasSuspended()) return 0;
      return timers.getMonotonicMs() < leaseEndMs - ACT_MARGIN_MS ? held.term : 0;
    },
    async release() {
      const record = held;
      if (record === undefined) return;
      markLost('given up');
      await store.replaceObject(StoreKind.Duties, name, revision, {
        ...record,
        holder: '',
        notes: listener?.getNotes(),
      });
    },
    stop() {
      isStopped = true;
      cancelNext?.();
    },
  };
}
