import { create } from '@bufbuild/protobuf';
import type { CallResult, ForwardCallRequest } from '../rpc/index.ts';
import { CallResultSchema } from '../rpc/index.ts';
import type { ServiceResult } from '../targets/index.ts';
import { MAX_IDEMPOTENT_ATTEMPTS, MAX_SAVED_RETRIES, RETRY_RATIO } from './consts.ts';
import {
  buildDoneResult,
  buildNotRunResult,
  buildUnknownResult,
  createRefusalError,
  STATUS_LIMIT_REACHED,
  STATUS_NOT_RUN,
} from './results.ts';
import { sendCall } from './send-call.ts';
import type { CallDependencies } from './types.ts';

/** Limits retries to a fraction of the calls, so that retries do not amplify an overload. */
export interface RetryBudget {
  /** Counts a call, which adds `RETRY_RATIO` of a retry to the budget. */
  recordCall(): void;
  /** Takes one retry from the budget; returns false when none is left. */
  takeRetry(): boolean;
}

/** Creates a budget that starts with `MAX_SAVED_RETRIES` retries. */
export function createRetryBudget(): RetryBudget {
  let savedRetries = MAX_SAVED_RETRIES;
  return {
    recordCall() {
      savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRY_RATIO);
    },
    takeRetry() {
      if (savedRetries < 1) return false;
      savedRetries--;
      return true;
    },
  };
}

/** Runs idempotent calls, which may be sent more than once. */
export interface IdempotentCallRunner {
  runCall(call: ForwardCallRequest): Promise<CallResult>;
}

function isRetryable({ response }: ServiceResult): boolean {
  return response === undefined || response.status === STATUS_NOT_RUN;
}

/** Creates the runner of idempotent calls, which retries failed calls at another target. */
export function createIdempotentCallRunner(
  dependencies: CallDependencies,
  budget: RetryBudget,
): IdempotentCallRunner {
  const buildResult = (
    { requestId }: ForwardCallRequest,
    result: ServiceResult,
    wasSent: boolean,
  ): CallResult => {
    if (result.response !== undefined) return buildDoneResult(requestId, result.response);
    const { problem } = result.failure;
    return wasSent ? buildUnknownResult(requestId, problem) : buildNotRunResult(requestId, problem);
  };

  const runAttempts = async (call: ForwardCallRequest): Promise<CallResult> => {
    const excludedVms = new Set<string>();
    let lastResult: CallResult | undefined;
    let wasSent = false;
    for (let attempt = 1; attempt <= MAX_IDEMPOTENT_ATTEMPTS; attempt++) {
      const sent = await sendCall(dependencies, call, excludedVms, { idempotent: true });
      if (sent.refusal !== undefined) {
        if (lastResult !== undefined) return lastResult;
        const { message } = createRefusalError(sent.refusal, call.customer, call.service);
        const status = sent.refusal.limit === undefined ? STATUS_NOT_RUN : STATUS_LIMIT_REACHED;
        return buildNotRunResult(call.requestId, message, sent.refusal.retryAfterMs, status);
      }
      const { vm, result } = sent;
      wasSent ||= result.response !== undefined || result.sent;
      lastResult = buildResult(call, result, wasSent);
      if (!isRetryable(result) || attempt === MAX_IDEMPOTENT_ATTEMPTS || !budget.takeRetry()) break;
      excludedVms.add(vm);
      dependencies.metrics.increment('calls.retried');
      dependencies.events.record('calls', 'retried', { request: call.requestId, target: vm });
    }
    return lastResult ?? create(CallResultSchema, { requestId: call.requestId });
  };

  return {
    runCall(call) {
      budget.recordCall();
      return runAttempts(call);
    },
  };
}
