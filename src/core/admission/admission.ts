import { NoTargetReason } from '../routing/index.ts';
import type { Reservation } from '../routing/index.ts';
import type { Unsubscribe } from '../timers/index.ts';
import { Priority } from '../domain-types/index.ts';
import { createCustomerLimits } from './customer-limits.ts';
import { createFairQueue } from './fair-queue.ts';
import type { QueueEntry } from './fair-queue.ts';
import type {
  Admission,
  AdmissionOptions,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionResult,
  Ticket,
} from './types.ts';
import { CustomerLimit } from './types.ts';

/** Maximum time a request waits for a target. Callers expect the first token within 1 s. */
export const QUEUE_DEADLINE_MS = 5_000;

/** Maximum number of requests in the queue of a daemon. */
export const MAX_QUEUED_REQUESTS = 1_024;

/** Maximum number of queued requests of one flow, so that one customer can't fill the queue. */
export const MAX_QUEUED_PER_FLOW = 256;

/** Period at which queued requests are retried, because limits refill and load reports change. */
const QUEUE_RETRY_MS = 50;

/** Retry delay sent to the caller when no target is available or the queue is full. */
const NO_TARGET_RETRY_MS = 1_000;

interface QueuedRequest {
  request: AdmissionRequest;
  /** Why the request could not start at the last attempt. */
  refusal: AdmissionRefusal;
  settle(result: AdmissionResult): void;
}

/** Creates the admission control of a daemon. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { timers } = options;
  const limits = createCustomerLimits(options);
  const queue = createFairQueue();
  let stopRetries: Unsubscribe | undefined;
  let isRunning = false;

  const runQueue = (): void => {
    // Ignores a nested call by a request that ends while the queue runs; the loop in `queue.run`
    // already covers it.
    if (isRunning) return;
    isRunning = true;
    queue.run();
    isRunning = false;
    if (queue.count() > 0) {
      stopRetries ??= timers.subscribe(QUEUE_RETRY_MS, runQueue);
      return;
    }
    stopRetries?.();
    stopRetries = undefined;
  };

  const issueTicket = (request: AdmissionRequest): Ticket => {
    const ticket = limits.startRequest(request.customer, request.tokens);
    return {
      ...ticket,
      release(usedTokens) {
        ticket.release(usedTokens);
        runQueue();
      },
    };
  };

  const wrapReservation = ({ target, release }: Reservation): Reservation => ({
    target,
    release() {
      release();
      runQueue();
    },
  });

  const tryStart = (waiting: QueuedRequest): boolean => {
    const { request } = waiting;
    const blocking =
      request.ticket === undefined ? limits.findBlockingLimit(request.customer) : undefined;
    if (blocking !== undefined) {
      waiting.refusal = blocking;
      return false;
    }
    const reservation = request.reserveTarget();
    if (typeof reservation === 'string') {
      waiting.refusal = { reason: reservation, retryAfterMs: NO_TARGET_RETRY_MS };
      // Waiting can't help a request that is larger than the share at every target.
      if (reservation !== NoTargetReason.TooLarge) return false;
      waiting.settle({ refusal: waiting.refusal });
      return true;
    }
    const ticket = request.ticket ?? issueTicket(request);
    waiting.settle({ ticket, reservation: wrapReservation(reservation) });
    return true;
  };

  const findRefusal = (request: AdmissionRequest, flow: string): AdmissionRefusal | undefined => {
    if (request.ticket !== undefined) return undefined;
    const isFull =
      queue.count() >= MAX_QUEUED_REQUESTS || queue.countFlow(flow) >= MAX_QUEUED_PER_FLOW;
    if (isFull) return { limit: CustomerLimit.QueuedRequests, retryAfterMs: NO_TARGET_RETRY_MS };
    return limits.admitRequest(request.customer);
  };

  const enqueueRequest = (request: AdmissionRequest, flow: string): Promise<AdmissionResult> =>
    new Promise((resolve) => {
      const isContinuation = request.ticket !== undefined;
      const waiting: QueuedRequest = {
        request,
        refusal: { reason: NoTargetReason.NoCapacity, retryAfterMs: NO_TARGET_RETRY_MS },
        settle: resolve,
      };
      const entry: QueueEntry = {
        flow,
        shareWeight: limits.getShareWeight(request.customer),
        // A continuation has high priority because its caller is already reading the answer.
        priority: isContinuation ? Priority.High : request.priority,
        cost: isContinuation ? 0 : request.tokens,
        tryStart: () => tryStart(waiting),
      };
      const refuse = (): void => {
        queue.remove(entry);
        // A request queued behind others of its flow was never tried, so `waiting.refusal` may still
        // be the initial value.
        const blocking = isContinuation ? undefined : limits.findBlockingLimit(request.customer);
        waiting.settle({ refusal: blocking ?? waiting.refusal });
      };
      const cancelDeadline = timers.scheduleOnce(request.waitMs ?? QUEUE_DEADLINE_MS, refuse);
      waiting.settle = (result) => {
        cancelDeadline();
        request.signal?.removeEventListener('abort', refuse);
        resolve(result);
      };
      request.signal?.addEventListener('abort', refuse, { once: true });
      queue.add(entry);
      if (request.signal?.aborted === true) refuse();
      runQueue();
    });

  return {
    acquire(request) {
      const flow = `${request.customer}/${request.route}`;
      const refusal = findRefusal(request, flow);
      if (refusal !== undefined) return Promise.resolve({ refusal });
      return enqueueRequest(request, flow);
    },
    runQueue,
    countQueued: () => queue.count(),
  };
}
