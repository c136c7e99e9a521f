import { create } from '@bufbuild/protobuf';
import type { AdmissionRefusal } from '../admission/index.ts';
import { createError, ErrorKind } from '../errors/index.ts';
import type { ServingErrorInstance } from '../errors/index.ts';
import { CallOutcome, CallResultSchema } from '../rpc/index.ts';
import type { CallResult } from '../rpc/index.ts';
import type { ServiceResponse } from '../targets/index.ts';

/** HTTP statuses for calls without a response of the service. */
export const STATUS_LIMIT_REACHED = 429;
export const STATUS_NOT_RUN = 503;
export const STATUS_UNKNOWN = 502;

/** Creates the error that describes a refusal by admission to the caller. */
export function createRefusalError(
  refusal: AdmissionRefusal,
  customer: string,
  route: string,
): ServingErrorInstance {
  if (refusal.limit !== undefined) {
    return createError(ErrorKind.LimitReached, { customer, limit: refusal.limit });
  }
  return createError(ErrorKind.NoTarget, {
    route,
    problem: refusal.reason ?? 'no target is available',
  });
}

/** Builds the result of a call that did not run and never will. */
export function buildNotRunResult(
  requestId: string,
  reason: string,
  retryAfterMs = 0,
  status = STATUS_NOT_RUN,
): CallResult {
  const outcome = CallOutcome.NOT_RUN;
  return create(CallResultSchema, { requestId, outcome, status, reason, retryAfterMs });
}

/** Builds the result of a call that may have run. */
export function buildUnknownResult(requestId: string, reason: string): CallResult {
  const outcome = CallOutcome.UNKNOWN;
  return create(CallResultSchema, { requestId, outcome, status: STATUS_UNKNOWN, reason });
}

/** Builds the result of a call that has not ended. */
export function buildRunningResult(requestId: string): CallResult {
  return create(CallResultSchema, { requestId, outcome: CallOutcome.RUNNING });
}

/** Builds the result of a call that the service responded to. */
export function buildDoneResult(requestId: string, answer: ServiceResponse): CallResult {
  const { status, headers, body } = answer;
  return create(CallResultSchema, {
    requestId,
    outcome: CallOutcome.DONE,
    status,
    headers,
    body: Uint8Array.from(body),
  });
}
