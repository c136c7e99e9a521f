import { z } from 'zod';
import type { Logger } from '../logs/index.ts';
import type { EraTracker, StoreClient, StoreObject } from '../store/index.ts';
import { StoreFailure, StoreKind } from '../store/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';

/** Dependencies and settings of a leader election. */
export interface LeaderElectionOptions<HandoverState> {
  /** Name of the lease object in the store. */
  name: string;
  vmName: string;
  /** Number that differs between the starts of the process on one VM. */
  incarnation: number;
  store: StoreClient;
  /** Has observed the era of an answer before the election gets it. */
  eras: Pick<EraTracker, 'getEra' | 'subscribe'>;
  timers: TimerService;
  logger: Logger;
  /** Whether another gateway has recently announced that it is the leader. */
  isOtherLeaderKnown(): boolean;
  /** Whether this gateway may become the leader; in a large fleet a few candidates suffice. */
  isCandidate(): boolean;
  handoverStateSchema: z.ZodType<HandoverState>;
}

/** Callbacks of a process that takes part in a leader election. */
export interface LeadershipListener<HandoverState> {
  /** Returns the state that the next leader needs; it is stored with each renewal. */
  getHandoverState(): HandoverState;
  /** Called when this process becomes the leader, with the state that the last leader stored. */
  handleElected(term: number, state: HandoverState | undefined): void;
  /** Called when this process is no longer the leader. */
  handleLost(): void;
}

/**
 * Elects one gateway as the leader, by a lease in the store. Log lines, metrics and the store call
 * the leadership a duty.
 */
export interface LeaderElection<HandoverState> {
  /** Starts to compete for the lease. */
  start(listener: LeadershipListener<HandoverState>): void;
  /** Returns the term in which this process may act as the leader now; 0 if it may not. */
  getTerm(): number;
  /**
   * Whether another leader may have acted before the term that this process holds, whose orders may
   * still be under way.
   */
  hasPredecessor(): boolean;
  /** Releases the lease, so that another gateway can acquire it at once. */
  release(): Promise<void>;
  /** Stops competing for the lease and renewing it; a lease that is held then expires. */
  stop(): void;
}

const leaseRecordSchema = z.object({
  /** VM of the leader; empty if the lease was released. */
  holder: z.string(),
  incarnation: z.number(),
  /** Incremented for each new leader; the epochs of groups are derived from it. */
  term: z.number(),
  /** Incremented with each renewal, so that the object changes. */
  renewals: z.number(),
  /** Handover state (`LeadershipListener.getHandoverState`) that the leader stored last. */
  notes: z.unknown(),
});
type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/**
 * Terms of one era of the store. A later era begins with a higher one, since the terms that were lost
 * with the last one must not be given out again.
 */
const TERMS_PER_ERA = 100;
/** Interval between renewals. */
const RENEW_PERIOD_MS = 800;
/**
 * A leader that has not renewed for this long is replaced. The time covers two renewal periods and
 * one slow response of the store.
 */
const LEASE_MS = 2_500;
/**
 * A leader stops acting this long before its lease ends. An order takes at most this long to reach
 * its engine, so none arrives after the lease has ended.
 */
const LEASE_SAFETY_MARGIN_MS = 600;
/** Interval at which a process that is not the leader checks the lease. */
const LEASE_CHECK_PERIOD_MS = 300;
/**
 * Drift between wall clock and monotonic clock from which this process counts as suspended. A change
 * of the wall clock by more than this counts as a suspension too.
 */
const SUSPENSION_DRIFT_MS = 500;

/** Creates a leader election; this process competes once the election is started. */
export function createLeaderElection<HandoverState>(
  options: LeaderElectionOptions<HandoverState>,
): LeaderElection<HandoverState> {
  const { name, vmName, incarnation, store, eras, timers, logger } = options;
  const { isOtherLeaderKnown, isCandidate } = options;
  let listener: LeadershipListener<HandoverState> | undefined;
  /** Lease record that this process wrote last; undefined if it is not the leader. */
  let heldLease: LeaseRecord | undefined;
  let revision = 0;
  let leaseEndMs = 0;
  let clockOffsetMs = timers.getWallMs() - timers.getMonotonicMs();
  /** Revision of another gateway's lease, and since when it has not changed. */
  let observed: { revision: number; sinceMs: number } | undefined;
  let isStopped = false;
  /** Until when this process does not compete, after it has released the lease. */
  let competesFromMs = 0;
  /** Until when this process may take the lease back that the store has lost. */
  let retakesUntilMs = 0;
  let hasPredecessor = true;
  let wasRestored = false;
  /** Highest term that this process has seen. */
  let highestTerm = 0;
  let cancelNext: Unsubscribe | undefined;

  /** Records that this process holds the lease, after an acquisition or a renewal. */
  const recordLease = (
    record: LeaseRecord,
    object: StoreObject,
    sentMs: number,
    storedState?: unknown,
  ): void => {
    const isNew = heldLease?.term !== record.term;
    heldLease = record;
    revision = object.revision;
    highestTerm = Math.max(highestTerm, record.term);
    leaseEndMs = sentMs + LEASE_MS;
    clockOffsetMs = timers.getWallMs() - timers.getMonotonicMs();
    if (!isNew) return;
    logger.info('took the duty', { duty: name, term: record.term, revision });
    const stored = options.handoverStateSchema.safeParse(storedState);
    listener?.handleElected(record.term, stored.data);
  };

  const markLost = (reason: string): void => {
    if (heldLease === undefined) return;
    logger.warn('lost the duty', { duty: name, term: heldLease.term, reason });
    heldLease = undefined;
    observed = undefined;
    listener?.handleLost();
  };

  /** Reads the lease after a renewal got no response: it may have been written, now or later. */
  const confirmRenewal = async (record: LeaseRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const result = await store.fetchObject(StoreKind.Duties, name);
    if (result.kind !== 'ok' || heldLease !== record) return;
    const current = leaseRecordSchema.safeParse(result.value.spec).data;
    const isOurs = current?.term === record.term && current.incarnation === incarnation;
    if (current !== undefined && isOurs) recordLease(current, result.value, sentMs);
    else markLost('another gateway holds the lease');
  };

  const renewLease = async (record: LeaseRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const next = { ...record, renewals: record.renewals + 1, notes: listener?.getHandoverState() };
    const result = await store.replaceObject(StoreKind.Duties, name, revision, next);
    if (heldLease !== record) return;
    if (result.kind === 'ok') recordLease(next, result.value, sentMs);
    else if (result.kind === StoreFailure.OutcomeUnknown) await confirmRenewal(record);
    else if (result.kind !== StoreFailure.NotDone) markLost(result.problem);
  };

  const takeNextTerm = (): number => {
    highestTerm = Math.max(highestTerm, eras.getEra() * TERMS_PER_ERA) + 1;
    return highestTerm;
  };

  const acquireLease = async (object: StoreObject, { notes }: LeaseRecord): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const era = eras.getEra();
    const next = { holder: vmName, incarnation, term: takeNextTerm(), renewals: 0, notes };
    const result = await store.replaceObject(StoreKind.Duties, name, object.revision, next);
    // In another era, the revision that was expected is that of another lease.
    if (era !== eras.getEra()) return;
    if (result.kind === 'ok') {
      hasPredecessor = true;
      recordLease(next, result.value, sentMs, notes);
    } else logger.info('failed to acquire the duty', { duty: name, problem: result.problem });
  };

  const createLease = async (): Promise<void> => {
    const sentMs = timers.getMonotonicMs();
    const notes = listener?.getHandoverState();
    const era = eras.getEra();
    const first = { holder: vmName, incarnation, term: takeNextTerm(), renewals: 0, notes };
    const result = await store.createObject(StoreKind.Duties, name, first);
    if (result.kind !== 'ok' || era !== eras.getEra()) return;
    hasPredecessor = wasRestored;
    recordLease(first, result.value, sentMs);
  };

  const checkLease = async (): Promise<void> => {
    if (isOtherLeaderKnown() || !isCandidate() || timers.getMonotonicMs() < competesFromMs) {
      observed = undefined;
      return;
    }
    const result = await store.fetchObject(StoreKind.Duties, name);
    // The answer may have told of a new era, in which this process may have to wait.
    if (isStopped || timers.getMonotonicMs() < competesFromMs) return;
    if (result.kind === StoreFailure.NotFound) await createLease();
    if (result.kind !== 'ok') return;
    const object = result.value;
    // An unreadable record is replaced. The object's revision is at least as high as any term that it
    // has contained, so terms keep increasing.
    const record = leaseRecordSchema.safeParse(object.spec).data ?? {
      holder: '',
      incarnation: 0,
      term: object.revision,
      renewals: 0,
      notes: undefined,
    };
    highestTerm = Math.max(highestTerm, record.term);
    const now = timers.getMonotonicMs();
    if (observed?.revision !== object.revision)
      observed = { revision: object.revision, sinceMs: now };
    // The lease is of an earlier process on this VM, or of an acquisition by this process whose
    // response was lost; either way no other process acts as the leader.
    const wasHeldByOwnVm = record.holder === vmName;
    const isExpired = now - observed.sinceMs >= LEASE_MS;
    const mayAcquire = record.holder === '' || wasHeldByOwnVm || isExpired || now < retakesUntilMs;
    if (mayAcquire) await acquireLease(object, record);
  };

  /**
   * Gives up a lease that the store may have lost. The leader may take it back at once; the others wait
   * until the lease is over that it may still hold without knowing of the restoration.
   */
  const handleRestoration = (): void => {
    const now = timers.getMonotonicMs();
    wasRestored = true;
    const wasLeader = heldLease !== undefined && now < leaseEndMs;
    if (wasLeader) retakesUntilMs = leaseEndMs;
    else competesFromMs = Math.max(competesFromMs, now + LEASE_MS);
    markLost('the store came back from an older copy');
    observed = undefined;
  };

  const step = async (): Promise<void> => {
    if (heldLease === undefined) await checkLease();
    else await renewLease(heldLease);
    if (heldLease !== undefined && timers.getMonotonicMs() > leaseEndMs) markLost('lease expired');
  };

  const scheduleStep = (delayMs: number): void => {
    if (isStopped) return;
    cancelNext = timers.scheduleOnce(delayMs, () => {
      step()
        .catch((error: unknown) =>
          logger.error('failed to check or renew the duty', { problem: String(error) }),
        )
        .finally(() =>
          scheduleStep(heldLease === undefined ? LEASE_CHECK_PERIOD_MS : RENEW_PERIOD_MS),
        );
    });
  };

  const wasSuspended = (): boolean => {
    const offsetMs = timers.getWallMs() - timers.getMonotonicMs();
    return Math.abs(offsetMs - clockOffsetMs) > SUSPENSION_DRIFT_MS;
  };

  return {
    start(started) {
      listener = started;
      eras.subscribe(handleRestoration);
      scheduleStep(0);
    },
    getTerm() {
      if (heldLease === undefined || wasSuspended()) return 0;
      return timers.getMonotonicMs() < leaseEndMs - LEASE_SAFETY_MARGIN_MS ? heldLease.term : 0;
    },
    hasPredecessor: () => hasPredecessor,
    async release() {
      const record = heldLease;
      if (record === undefined) return;
      markLost('released');
      competesFromMs = timers.getMonotonicMs() + LEASE_MS;
      await store.replaceObject(StoreKind.Duties, name, revision, {
        ...record,
        holder: '',
        notes: listener?.getHandoverState(),
      });
    },
    stop() {
      isStopped = true;
      cancelNext?.();
    },
  };
}
