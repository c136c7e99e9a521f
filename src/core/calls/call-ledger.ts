import type { CallResult } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { applyCallEvent, CallAction } from './call-state.ts';
import type { CallEvent, CallRecord } from './call-state.ts';
import {
  LEDGER_SWEEP_INTERVAL_MS,
  MAX_LEDGER_RECORDS,
  MAX_STORED_ANSWER_BYTES,
  MAX_STORED_BYTES,
  PREFIX_LIFETIME_MS,
} from './consts.ts';
import { formatRequestIdPrefix, parseRequestId } from './request-id.ts';

/** Whether a request id was issued by this process and is still valid. */
export enum RequestIdStatus {
  /** Issued by this incarnation of the daemon and not expired. */
  Own = 'own',
  /** Issued by this incarnation but expired; its record may already have been removed. */
  Expired = 'expired',
  /** Issued by another daemon or by an earlier incarnation of this one. */
  Foreign = 'foreign',
  /** Not issued by any daemon. */
  Invalid = 'invalid',
}

/** Options of `createCallLedger`. */
export interface CallLedgerOptions {
  timers: TimerService;
  /** Name of this daemon, which owns the ids that it issues. */
  owner: string;
  /** Hexadecimal number that changes with each start of the process. */
  incarnation: string;
  /** Maximum number of recorded ids; `MAX_LEDGER_RECORDS` by default. */
  maxRecords?: number;
}

/** In-memory records of the non-idempotent calls whose ids this daemon issued. */
export interface CallLedger {
  /** Issues a new request id prefix for one caller. */
  createPrefix(): string;
  checkId(id: string): RequestIdStatus;
  /** Applies an event to the record of an id; the result is set when the action is `Reply`. */
  applyEvent(id: string, event: CallEvent): LedgerDecision;
  /** Resolves with the result when the call has ended; rejects when the id has no record. */
  waitForResult(id: string): Promise<CallResult>;
  countRecords(): number;
  getStoredBytes(): number;
  stop(): void;
}

/** Action that the owner takes after an event, and the result to reply with. */
export interface LedgerDecision {
  action: CallAction;
  result?: CallResult;
  /** True when the ledger has no room for the id; the id is rejected until its prefix expires. */
  isFull?: boolean;
}

interface LedgerEntry {
  record: CallRecord;
  expiryMs: number;
  listeners: ((result: CallResult) => void)[];
}

/** Creates the ledger of a daemon and starts the periodic removal of expired records. */
export function createCallLedger(options: CallLedgerOptions): CallLedger {
  const { timers, owner, incarnation, maxRecords = MAX_LEDGER_RECORDS } = options;
  const entries = new Map<string, LedgerEntry>();
  let sequence = 0;
  let storedBytes = 0;
  /** Ids without a record that expire at or before this time are rejected. */
  let unrecordedClosedUntilMs = -1;

  const computeNewExpiryMs = (): number => Math.ceil(timers.getMonotonicMs()) + PREFIX_LIFETIME_MS;

  const getExpiryMs = (id: string): number => parseRequestId(id)?.expiryMs ?? 0;

  const checkId = (id: string): RequestIdStatus => {
    const issued = parseRequestId(id);
    if (issued === undefined) return RequestIdStatus.Invalid;
    if (issued.owner !== owner || issued.incarnation !== incarnation)
      return RequestIdStatus.Foreign;
    const nowMs = timers.getMonotonicMs();
    // Rejects a forged expiry, which would keep a record longer than any issued id does.
    if (issued.expiryMs > computeNewExpiryMs()) return RequestIdStatus.Invalid;
    return issued.expiryMs <= nowMs ? RequestIdStatus.Expired : RequestIdStatus.Own;
  };

  const dropBody = (result: CallResult): void => {
    storedBytes -= result.body.byteLength;
    result.body = new Uint8Array();
    result.bodyDropped = true;
  };

  const dropOldestBodies = (): void => {
    for (const { record } of entries.values()) {
      if (storedBytes <= MAX_STORED_BYTES) return;
      if (record.result !== undefined && record.result.body.byteLength > 0) {
        dropBody(record.result);
      }
    }
  };

  /** Stores a copy, so that dropping the stored body never affects the first caller's result. */
  const storeResult = (record: CallRecord): CallRecord => {
    if (record.result === undefined) return record;
    const result = { ...record.result };
    storedBytes += result.body.byteLength;
    if (result.body.byteLength > MAX_STORED_ANSWER_BYTES) dropBody(result);
    return { ...record, result };
  };

  const setRecord = (id: string, record: CallRecord): void => {
    const entry = entries.get(id);
    if (entry === undefined) {
      entries.set(id, { record: storeResult(record), expiryMs: getExpiryMs(id), listeners: [] });
      return;
    }
    entry.record = storeResult(record);
    const { result } = record;
    if (result === undefined) return;
    entry.listeners.splice(0).forEach((listener) => listener(result));
    dropOldestBodies();
  };

  /**
   * Closes all issued ids that have no record. An id that the ledger has no room for must never run,
   * and there is no record to close it individually.
   */
  const closeUnrecordedIds = (): LedgerDecision => {
    unrecordedClosedUntilMs = Math.max(unrecordedClosedUntilMs, computeNewExpiryMs());
    return { action: CallAction.None, isFull: true };
  };

  const isClosedUnrecordedId = (id: string): boolean => getExpiryMs(id) <= unrecordedClosedUntilMs;

  const removeExpired = (): void => {
    const nowMs = timers.getMonotonicMs();
    entries.forEach(({ record, expiryMs }, id) => {
      if (expiryMs > nowMs || record.result === undefined) return;
      storedBytes -= record.result.body.byteLength;
      entries.delete(id);
    });
  };

  const stop = timers.subscribe(LEDGER_SWEEP_INTERVAL_MS, removeExpired);

  return {
    createPrefix: () =>
      formatRequestIdPrefix({ owner, incarnation, expiryMs: computeNewExpiryMs() }, sequence++),
    checkId,
    applyEvent(id, event) {
      const existing = entries.get(id)?.record;
      if (existing === undefined && isClosedUnrecordedId(id))
        return { action: CallAction.None, isFull: true };
      if (existing === undefined && entries.size >= maxRecords) return closeUnrecordedIds();
      const { record, action } = applyCallEvent(existing, event);
      if (record !== undefined && record !== existing) setRecord(id, record);
      return { action, ...(record?.result !== undefined && { result: record.result }) };
    },
    waitForResult(id) {
      const entry = entries.get(id);
      if (entry === undefined) return Promise.reject(new Error(`request id ${id} has no record`));
      const { result } = entry.record;
      if (result !== undefined) return Promise.resolve(result);
      return new Promise((resolve) => {
        entry.listeners.push(resolve);
      });
    },
    countRecords: () => entries.size,
    getStoredBytes: () => storedBytes,
    stop,
  };
}
