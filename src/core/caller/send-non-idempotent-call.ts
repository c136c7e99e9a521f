import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { formatProblem } from '../errors/index.ts';
import { Outcome } from '../domain-types/index.ts';
import type { AddressCache } from './address-cache.ts';
import { formatOrigin } from '../origin/index.ts';
import type { CallerOptions, NonIdempotentCall, NonIdempotentCallResult } from './types.ts';

const HTTP_ACCEPTED = 202;
const LOOKUP_DELAY_MS = 200;
const DEFAULT_MAX_ATTEMPTS = 20;
const RESPONSE_TIMEOUT_MS = 40_000;

/**
 * Sends a non-idempotent call once. When the outcome is unknown, it only looks the outcome up and
 * never sends the call again. When the call did not run, the caller may send it again under a new id.
 */
export async function sendNonIdempotentCall(
  options: CallerOptions,
  addressCache: AddressCache,
  dispatcher: Dispatcher,
  call: NonIdempotentCall,
  sequence: number,
): Promise<NonIdempotentCallResult> {
  const { customer, timers } = options;
  const { requestIdPrefix } = await addressCache.fetchAddressAnswer();
  const requestId = `${requestIdPrefix}${sequence}`;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;

  const attemptOnce = async (
    attempt: number,
    isLookup: boolean,
  ): Promise<NonIdempotentCallResult | undefined> => {
    const { addresses } = await addressCache.fetchAddressAnswer();
    const endpoint = addresses[attempt % Math.max(1, addresses.length)];
    if (endpoint === undefined) throw new Error('no entry address is available for this customer');
    const path = isLookup
      ? `/v1/requests/${encodeURIComponent(requestId)}`
      : `/v1/services/${call.service}${call.path}`;
    const response = await request(`${formatOrigin(endpoint)}${path}`, {
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
      body: isLookup ? null : JSON.stringify(call.body),
      headersTimeout: RESPONSE_TIMEOUT_MS,
    });
    const body = await response.body.text();
    if (response.statusCode === HTTP_ACCEPTED) return undefined;
    const outcome = response.headers['x-outcome'] as Outcome;
    return { requestId, outcome, status: response.statusCode, body };
  };

  let result: NonIdempotentCallResult = {
    requestId,
    outcome: Outcome.Unknown,
    status: 0,
    body: '',
  };
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    try {
      const newResult = await attemptOnce(attempt, attempt > 0);
      if (newResult !== undefined) result = newResult;
      if (result.outcome !== Outcome.Unknown) return result;
    } catch (error) {
      result = { ...result, body: formatProblem(error) };
    }
    await timers.waitFor(LOOKUP_DELAY_MS);
  }
  return result;
}
