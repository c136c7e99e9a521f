import type { ServingErrorInstance } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';
import { CALLER_HEARTBEAT_MS, CALLER_WRITE_DEADLINE_MS, MAX_BATCH_BYTES } from './consts.ts';
import type { BufferBudget } from './buffer-budget.ts';
import type { TokenLog } from './token-log.ts';
import type { AnswerSink } from './types.ts';

/** Dependencies and parameters of a delivery. */
export interface DeliveryOptions {
  timers: TimerService;
  budget: BufferBudget;
  log: TokenLog;
  sink: AnswerSink;
  /** Offset of the first token to deliver. */
  firstOffset: number;
  formatResumeToken(offset: number): string;
  /** Called after tokens were delivered. */
  handleProgress(): void;
  /** Called once, after the end or the error was written, or when the caller is gone. */
  handleFinished(isCallerGone: boolean): void;
}

/** Writes the tokens of a log to a caller at the speed at which the caller reads them. */
export interface Delivery {
  /** Registers a token added to the log and writes as much as the caller accepts. */
  handleAdded(offset: number, bytes: number): void;
  getUndeliveredBytes(): number;
  /** Tells whether the caller must read before more can be written. */
  isBlocked(): boolean;
  /** Writes the end event after all remaining tokens. */
  finish(total: number): void;
  /** Writes the error event after all remaining tokens. */
  fail(error: ServingErrorInstance): void;
}

/** Starts the delivery of one answer. */
export function startDelivery(options: DeliveryOptions): Delivery {
  const { timers, budget, log, sink } = options;
  let cursor = options.firstOffset;
  let undelivered = 0;
  let isBlocked = false;
  let isOpen = true;
  let hasWritten = false;
  let writeFinal: (() => void) | undefined;
  let lastProgressMs = timers.getMonotonicMs();
  let lastBufferedBytes = 0;

  const addUndelivered = (bytes: number): void => {
    undelivered += bytes;
    budget.add(bytes);
  };

  const close = (isCallerGone: boolean): void => {
    if (!isOpen) return;
    isOpen = false;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- Runs later.
    stopHeartbeat();
    addUndelivered(-undelivered);
    options.handleFinished(isCallerGone);
  };

  const writeBatch = (): boolean => {
    const batch = log.readBatch(cursor, MAX_BATCH_BYTES);
    if (batch === undefined) return false;
    const offset = batch.endOffset - 1;
    isBlocked = !sink.writeTokens(batch.text, offset, options.formatResumeToken(offset));
    hasWritten = true;
    cursor = batch.endOffset;
    addUndelivered(-batch.bytes);
    return true;
  };

  const deliver = (): void => {
    let hasProgress = false;
    while (isOpen && !isBlocked && writeBatch()) hasProgress = true;
    if (isOpen && !isBlocked && writeFinal !== undefined && cursor >= log.getEndOffset()) {
      writeFinal();
      close(false);
      return;
    }
    if (hasProgress) options.handleProgress();
  };

  /** Closes a stalled caller. Any byte it reads is progress, even if its buffer remains full. */
  const checkDeadline = (): void => {
    const nowMs = timers.getMonotonicMs();
    const buffered = sink.getBufferedBytes();
    if (!isBlocked || buffered < lastBufferedBytes) lastProgressMs = nowMs;
    lastBufferedBytes = buffered;
    if (nowMs - lastProgressMs < CALLER_WRITE_DEADLINE_MS) return;
    sink.close();
    close(true);
  };

  const stopHeartbeat = timers.subscribe(CALLER_HEARTBEAT_MS, () => {
    checkDeadline();
    if (isOpen && !isBlocked && !hasWritten) isBlocked = !sink.writeHeartbeat();
    hasWritten = false;
  });

  sink.subscribe({
    handleDrain() {
      isBlocked = false;
      lastProgressMs = timers.getMonotonicMs();
      deliver();
    },
    handleClosed: () => close(true),
  });

  const setFinalWrite = (write: () => void): void => {
    if (writeFinal !== undefined) return;
    writeFinal = write;
    deliver();
  };

  return {
    handleAdded(offset, bytes) {
      // A resumed stream may begin with tokens that the caller already has.
      if (!isOpen || offset < cursor) return;
      addUndelivered(bytes);
      deliver();
    },
    getUndeliveredBytes: () => undelivered,
    isBlocked: () => isBlocked,
    finish: (total) => setFinalWrite(() => sink.writeEnd(total)),
    fail: (error) => setFinalWrite(() => sink.writeError(error)),
  };
}
