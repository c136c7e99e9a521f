import { create } from '@bufbuild/protobuf';
import type { CallResult, ForwardCallRequest } from '../rpc/index.ts';
import { CallResultSchema } from '../rpc/index.ts';
import type { ServiceResult } from '../targets/index.ts';
import { MAX_IDEMPOTENT_ATTEMPTS, MAX_SAVED_RETRIES, RETRY_RATIO } from './consts.ts';
import {
  buildDone,
  buildNotRun,
  buildUnknown,
  createRefusalError,
  STATUS_LIMIT,
  STATUS_NOT_RUN,
} from './results.ts';
import { sendCall } from './send-call.ts';
import type { CallParts } from './types.ts';

/** Limits retries to a fraction of the calls, so that retries do not amplify an overload. */
export interface RetryBudget {
  /** Counts a call, which adds `RETRY_RATIO` of a retry to the budget. */
  add(): void;
  /** Takes one retry from the budget; returns false when none is left. */
  take(): boolean;
}

/** Creates a budget that starts with `MAX_SAVED_RETRIES` retries. */
export function createRetryBudget(): RetryBudget {
  let saved = MAX_SAVED_RETRIES;
  return {
    add() {
      saved = Math.min(MAX_SAVED_RETRIES, saved + RETRY_RATIO);
    },
    take() {
      if (saved < 1) return false;
      saved--;
      return true;
    },
  };
}

/** Runs idempotent calls, which may be sent more than once. */
export interface IdempotentCalls {
  runCall(call: ForwardCallRequest): Promise<CallResult>;
}

function isRetryable({ response }: ServiceResult): boolean {
  return response === undefined || response.status === STATUS_NOT_RUN;
}

/** Creates the runner of idempotent calls, which retries failed calls at another target. */
export function createIdempotentCalls(parts: CallParts, budget: RetryBudget): IdempotentCalls {
  const buildResult = (
    { requestId }: ForwardCallRequest,
    result: ServiceResult,
    hasLeft: boolean,
  ): CallResult => {
    if (result.response !== undefined) return buildDone(requestId, result.response);
    const { problem } = result.failure;
    return hasLeft ? buildUnknown(requestId, problem) : buildNotRun(requestId, problem);
  };

  const runAttempts = async (call: ForwardCallRequest): Promise<CallResult> => {
    const excludedVms = new Set<string>();
    let latest: CallResult | undefined;
    let hasLeft = false;
    for (let attempt = 1; attempt <= MAX_IDEMPOTENT_ATTEMPTS; attempt++) {
      const sent = await sendCall(parts, call, excludedVms, { idempotent: true });
      if (sent.refusal !== undefined) {
        if (latest !== undefined) return latest;
        const { message } = createRefusalError(sent.refusal, call.customer, call.service);
        const status = sent.refusal.limit === undefined ? STATUS_NOT_RUN : STATUS_LIMIT;
        return buildNotRun(call.requestId, message, sent.refusal.retryAfterMs, status);
      }
      const { vm, result } = sent;
      hasLeft ||= result.response !== undefined || result.sent;
      latest = buildResult(call, result, hasLeft);
      if (!isRetryable(result) || attempt === MAX_IDEMPOTENT_ATTEMPTS || !budget.take()) break;
      excludedVms.add(vm);
      parts.metrics.increment('calls.retried');
      parts.events.record('calls', 'retried', { request: call.requestId, target: vm });
    }
    return latest ?? create(CallResultSchema, { requestId: call.requestId });
  };

  return {
    runCall(call) {
      budget.add();
      return runAttempts(call);
    },
  };
}
