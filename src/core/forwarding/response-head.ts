import type { ResponseHead } from './types.ts';

const HTTP_SUCCESS_MIN = 200;
const HTTP_SUCCESS_MAX = 299;
/** Statuses with which a target refuses a request that it has not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([421, 429, 503]);

/** Whether a status states success. */
export function isSuccess(status: number): boolean {
  return status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX;
}

/** Whether the body is a stream of events. */
export function isStreamHead(head: ResponseHead): boolean {
  for (let index = 0; index < head.forwardedHeaders.length; index += 2) {
    const isType = head.forwardedHeaders[index]?.toLowerCase() === 'content-type';
    if (isType && head.forwardedHeaders[index + 1]?.startsWith('text/event-stream')) return true;
  }
  return false;
}

/** Whether a target states, or an unsigned status says, that it has refused the request. */
export function isRefusal(head: ResponseHead): boolean {
  return head.isNotRun || (!head.isSigned && REFUSAL_STATUSES.has(head.status));
}
