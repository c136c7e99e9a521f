import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import { Outcome } from '../world/index.ts';
import type { AddressBook } from './address-book.ts';
import { formatOrigin } from '../origin/index.ts';
import type { CallerOptions, OrderRequest, OrderResult } from './types.ts';

const HTTP_ACCEPTED = 202;
const RETRY_MS = 200;
const DEFAULT_MAX_ATTEMPTS = 20;
const ANSWER_DEADLINE_MS = 40_000;

/**
 * Sends a non-idempotent call once. When the outcome is unknown, it only looks the outcome up and
 * never sends the call again. When the call did not run, the caller may send it again under a new id.
 */
export async function sendOrder(
  options: CallerOptions,
  book: AddressBook,
  dispatcher: Dispatcher,
  order: OrderRequest,
  sequence: number,
): Promise<OrderResult> {
  const { customer, timers } = options;
  const { requestIdPrefix } = await book.fetchAnswer();
  const requestId = `${requestIdPrefix}${sequence}`;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;

  const readOnce = async (attempt: number, isLookup: boolean): Promise<OrderResult | undefined> => {
    const { addresses } = await book.fetchAnswer();
    const place = addresses[attempt % Math.max(1, addresses.length)];
    if (place === undefined) throw new Error('no entry address is available for this customer');
    const path = isLookup
      ? `/v1/requests/${encodeURIComponent(requestId)}`
      : `/v1/services/${order.service}${order.path}`;
    const answer = await request(`${formatOrigin(place)}${path}`, {
      method: isLookup ? 'GET' : 'POST',
      dispatcher,
      headers: {
        'x-customer': customer,
        ...(!isLookup && {
          'content-type': 'application/json',
          'x-request-id': requestId,
          'x-idempotent': 'false',
        }),
      },
      body: isLookup ? null : JSON.stringify(order.body),
      headersTimeout: ANSWER_DEADLINE_MS,
    });
    const body = await answer.body.text();
    if (answer.statusCode === HTTP_ACCEPTED) return undefined;
    const outcome = answer.headers['x-outcome'] as Outcome;
    return { requestId, outcome, status: answer.statusCode, body };
  };

  let result: OrderResult = { requestId, outcome: Outcome.Unknown, status: 0, body: '' };
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    try {
      const answered = await readOnce(attempt, attempt > 0);
      if (answered !== undefined) result = answered;
      if (result.outcome !== Outcome.Unknown) return result;
    } catch (error) {
      result = { ...result, body: formatProblem(error) };
    }
    await timers.waitFor(RETRY_MS);
  }
  return result;
}
