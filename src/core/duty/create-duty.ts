import { z } from 'zod';
import type { Logger } from '../logs/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import { StoreFailure, StoreKind } from '../store/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** Dependencies and settings of a leader election. */
export interface DutyOptions<Notes> {
  /** Name of the lease object in the store. */
  name: string;
  vmName: string;
  incarnation: number;
  store: StoreClient;
  timers: TimerService;
  logger: Logger;
  /** Whether another gateway has recently announced that it is the leader. */
  isHolderHeard(): boolean;
  /** Whether this gateway may become the leader; in a large fleet a few candidates suffice. */
  isCandidate(): boolean;
  notesSchema: z.ZodType<Notes>;
}

/** Callbacks of a process that takes part in a leader election. */
export interface DutyListener<Notes> {
  /** Returns the state that the next leader needs; it is stored with each renewal. */
  getNotes(): Notes;
  /** Called when this process becomes the leader, with the state that the last leader stored. */
  handleTaken(term: number, notes: Notes | undefined): void;
  /** Called when this process is no longer the leader. */
  handleLost(): void;
}

/**
 * Elects one gateway as the leader for a task, by a lease in the store. Log lines, metrics and the
 * store call the task a duty.
 */
export interface Duty<Notes> {
  /** Starts to compete for the lease. */
  start(listener: DutyListener<Notes>): void;
  /** Returns the term in which this process may act as the leader now; 0 if it may not. */
  getTerm(): number;
  /** Releases the lease, so that another gateway can acquire it at once. */
  release(): Promise<void>;
  stop(): void;
}

const recordSchema = z.object({
  /** VM of the leader; empty if the lease was released. */
  holder: z.string(),
  incarnation: z.number(),
  /** Incremented for each new leader; the epochs of groups are derived from it. */
  term: z.number(),
  /** Incremented with each renewal, so that the object changes. */
  renewals: z.number(),
  notes: z.unknown(),
});
type DutyRecord = z.infer<typeof recordSchema>;

/** Interval between renewals. */
const RENEW_PERIOD_MS = 800;
/** A leader that has not renewed for this long is replaced: two renewals and a slow response. */
const LEASE_MS = 2_500;
/** A leader stops acting this long before its lease ends: the longest transit time of an order. */
const ACT_MARGIN_MS = 600;
/** Interval at which a process that is not the leader checks the lease. */
const LOOK_PERIOD_MS = 300;
/** Drift between wall clock and monotonic clock that shows that this process was suspended. */
const SUSPENDED_MS = 500;

/** Creates a leader election; this process competes once the election is started. */
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

  /** Reads the lease after a renewal got no response: it may have been written, now or later. */
  const readBack = async (record: DutyRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.fetchObject(StoreKind.Duties, name);
    if (result.kind !== 'ok' || held !== record) return;
    const current = recordSchema.safeParse(result.value.spec).data;
    const isOurs = current?.term === record.term && current.incarnation === incarnation;
    if (current !== undefined && isOurs) markHeld(current, result.value, sentMs);
    else markLost('another gateway holds the lease');
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
    else logger.info('failed to acquire the duty', { duty: name, problem: result.problem });
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
    if (held !== undefined && timers.getMonotonicMs() > leaseEndMs) markLost('lease expired');
  };

  const scheduleStep = (delayMs: number): void => {
    if (isStopped) return;
    cancelNext = timers.scheduleOnce(delayMs, () => {
      step()
        .catch((error: unknown) =>
          logger.error('failed to check or renew the duty', { problem: String(error) }),
        )
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
      markLost('released');
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
