import { isHttpStatus } from '../http/is-http-status.ts';
import type { ResponseHead } from './types.ts';

const HTTP_SUCCESS_MIN = 200;
const HTTP_SUCCESS_MAX = 299;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_MISDIRECTED = 421;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** Statuses with which callers are told that their request has not run and never will. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  HTTP_REQUEST_TIMEOUT,
  HTTP_MISDIRECTED,
  HTTP_TOO_MANY_REQUESTS,
  HTTP_UNAVAILABLE,
]);

/** Whether another head follows this one. */
export function isInterim({ status }: Pick<ResponseHead, 'status'>): boolean {
  return isHttpStatus(status) && status < HTTP_SUCCESS_MIN;
}

export function isSuccess({ status }: Pick<ResponseHead, 'status'>): boolean {
  return status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX;
}

/** Whether a success lacks the signature of its target, or its body is not as the target created it. */
export function isInvalidSuccess(head: ResponseHead): boolean {
  return isSuccess(head) && (!head.isSigned || head.isEncoded);
}

/** Whether the body is a series of events. */
export function isStreamHead({
  forwardedHeaders,
}: Pick<ResponseHead, 'forwardedHeaders'>): boolean {
  for (let index = 0; index < forwardedHeaders.length; index += 2) {
    const isType = forwardedHeaders[index]?.toLowerCase() === 'content-type';
    if (isType && forwardedHeaders[index + 1]?.startsWith('text/event-stream')) return true;
  }
  return false;
}

/**
 * Whether a caller would take the response for a refusal although the target does not state that it
 * has not run the request. Such a response must not be passed on.
 */
export function isUnprovenRefusal(head: Pick<ResponseHead, 'status' | 'isNotRun'>): boolean {
  return REFUSAL_STATUSES.has(head.status) && !head.isNotRun;
}
