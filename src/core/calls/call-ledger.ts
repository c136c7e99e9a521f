import type { CallResult } from '../rpc/index.ts';
import type { TimerService } from '../timers/index.ts';
import { applyCallEvent, CallAction } from './call-state.ts';
import type { CallEvent, CallRecord } from './call-state.ts';
import {
  LEDGER_SWEEP_MS,
  MAX_LEDGER_RECORDS,
  MAX_STORED_ANSWER_BYTES,
  MAX_STORED_BYTES,
  PREFIX_LIFETIME_MS,
} from './consts.ts';
import { formatRequestIdPrefix, parseRequestId } from './request-id.ts';

/** Whether this daemon decides about an id. */
export enum IdStatus {
  /** This incarnation issued the id, and it has not expired. */
  Own = 'own',
  /** This incarnation issued the id; what happened to it may be forgotten. */
  Expired = 'expired',
  /** Another daemon, or an earlier incarnation of this one, issued the id. */
  Foreign = 'foreign',
  /** No daemon issued the id. */
  Invalid = 'invalid',
}

/** What the ledger needs. */
export interface CallLedgerOptions {
  timers: TimerService;
  /** Name of this daemon. */
  owner: string;
  /** Hexadecimal number that is different after each start of the process. */
  incarnation: string;
  maxRecords?: number;
}

/** Records of the non-idempotent calls that this daemon owns. */
export interface CallLedger {
  /** Issues a prefix for one caller. */
  createPrefix(): string;
  checkId(id: string): IdStatus;
  /** Applies an event; the result is set when the action is `Reply`. */
  applyEvent(id: string, event: CallEvent): LedgerReply;
  /** Resolves when the call has ended. */
  waitForResult(id: string): Promise<CallResult>;
  countRecords(): number;
  getStoredBytes(): number;
  stop(): void;
}

/** What the owner does, and the result that it answers with. */
export interface LedgerReply {
  action: CallAction;
  result?: CallResult;
  /** True when the id can't be recorded; it is closed by the expiry of its prefix. */
  isFull?: boolean;
}

interface Entry {
  record: CallRecord;
  expiryMs: number;
  listeners: ((result: CallResult) => void)[];
}

/** Creates the ledger of a daemon. */
export function createCallLedger(options: CallLedgerOptions): CallLedger {
  const { timers, owner, incarnation, maxRecords = MAX_LEDGER_RECORDS } = options;
  const entries = new Map<string, Entry>();
  let sequence = 0;
  let storedBytes = 0;
  /** Unseen ids that expire at or before this time never run. */
  let closedUntilMs = -1;

  const getNewExpiry = (): number => Math.ceil(timers.getMonotonicMs()) + PREFIX_LIFETIME_MS;

  const getExpiry = (id: string): number => parseRequestId(id)?.expiryMs ?? 0;

  const checkId = (id: string): IdStatus => {
    const issued = parseRequestId(id);
    if (issued === undefined) return IdStatus.Invalid;
    if (issued.owner !== owner || issued.incarnation !== incarnation) return IdStatus.Foreign;
    const nowMs = timers.getMonotonicMs();
    // An invented expiry must not keep a record longer than an issued one.
    if (issued.expiryMs > getNewExpiry()) return IdStatus.Invalid;
    return issued.expiryMs <= nowMs ? IdStatus.Expired : IdStatus.Own;
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

  /** Keeps a copy of the result, so that the first caller gets the whole body in any case. */
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
      entries.set(id, { record: storeResult(record), expiryMs: getExpiry(id), listeners: [] });
      return;
    }
    entry.record = storeResult(record);
    const { result } = record;
    if (result === undefined) return;
    entry.listeners.splice(0).forEach((listener) => listener(result));
    dropOldestBodies();
  };

  /** An id that can't be recorded must never run, so all ids issued so far are closed instead. */
  const closeUnseen = (): LedgerReply => {
    closedUntilMs = Math.max(closedUntilMs, getNewExpiry());
    return { action: CallAction.None, isFull: true };
  };

  const isClosedUnseen = (id: string): boolean => getExpiry(id) <= closedUntilMs;

  const removeExpired = (): void => {
    const nowMs = timers.getMonotonicMs();
    entries.forEach(({ record, expiryMs }, id) => {
      if (expiryMs > nowMs || record.result === undefined) return;
      storedBytes -= record.result.body.byteLength;
      entries.delete(id);
    });
  };

  const stop = timers.subscribe(LEDGER_SWEEP_MS, removeExpired);

  return {
    createPrefix: () =>
      formatRequestIdPrefix({ owner, incarnation, expiryMs: getNewExpiry() }, sequence++),
    checkId,
    applyEvent(id, event) {
      const known = entries.get(id)?.record;
      if (known === undefined && isClosedUnseen(id))
        return { action: CallAction.None, isFull: true };
      if (known === undefined && entries.size >= maxRecords) return closeUnseen();
      const { record, action } = applyCallEvent(known, event);
      if (record !== undefined && record !== known) setRecord(id, record);
      return { action, ...(record?.result !== undefined && { result: record.result }) };
    },
    waitForResult(id) {
      const entry = entries.get(id);
      if (entry === undefined) return Promise.reject(new Error(`no call ${id}`));
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
